package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/refusal"
)

const errorsHead = `# Errors

<!-- Generated from the table in package refusal. Change it there and run: go test ./reference -update -->

A request that is not answered gets a refusal: the HTTP status of this table and the JSON body ` + "`{\"id\",\"kind\",\"ran\",\"retry\",\"detail\"}`" + `. The list of kinds is closed.

` + "`ran`" + ` states whether the request ran on a searcher. The table gives what the kind alone states; a refusal can state more if more is known. "no" is a promise: the request did not run and will not run.

` + "`retry`" + ` is advice on sending the request again:

- ` + "`never`" + `: the same request is refused again.
- ` + "`later`" + `: after a delay, to any address.
- ` + "`else`" + `: at once, to another address.
- ` + "`address`" + `: after requesting the addresses again.
- ` + "`confirm`" + `: only after the caller has determined whether it ran. An idempotent request can be sent again at once.

| Kind | Status | Ran | Retry | Meaning |
|---|---|---|---|---|
`

// Errors returns the text of docs/errors.md. kindSource is the source of
// refusal/kind.go, whose doc comments give the meanings of the kinds. A kind without a
// doc comment is an error.
func Errors(kindSource []byte) (string, error) {
	meanings, err := kindMeanings(kindSource)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	out.WriteString(errorsHead)
	for _, a := range refusal.Table() {
		meaning := meanings[a.Kind()]
		if meaning == "" {
			return "", eris.Errorf("kind %q has no doc comment", a.Kind())
		}
		fmt.Fprintf(&out, "| `%s` | %d | %s | `%s` | %s |\n", a.Kind(), a.Status(), a.Ran(), a.Retry(), meaning)
	}
	return out.String(), nil
}

// kindMeanings returns the meaning of each kind from its doc comment.
func kindMeanings(source []byte) (map[refusal.Kind]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "kind.go", source, parser.ParseComments)
	if err != nil {
		return nil, eris.Wrap(err, "parse refusal/kind.go")
	}
	meanings := make(map[refusal.Kind]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		lit, ok := spec.Values[0].(*ast.BasicLit)
		if !ok {
			return true
		}
		kind, err := strconv.Unquote(lit.Value)
		if err == nil {
			meanings[refusal.Kind(kind)] = tableCell(spec.Names[0].Name, spec.Doc.Text())
		}
		return true
	})
	return meanings, nil
}

// tableCell converts a doc comment such as "Name is a request ..." or "Name means that
// the daemon ..." to the text of a table cell: it removes the name and the verb.
func tableCell(name, doc string) string {
	text := strings.Join(strings.Fields(strings.TrimPrefix(doc, name)), " ")
	for _, verb := range []string{"is ", "means that "} {
		text = strings.TrimPrefix(text, verb)
	}
	if text == "" {
		return ""
	}
	return strings.ToUpper(text[:1]) + text[1:]
}
