package syntax

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// MaxTextBytes is the maximum length of a text. The store holds objects of up to 1 MB;
// the difference leaves room for the JSON escaping of the text.
const MaxTextBytes = 900_000

// Parse returns one Node for each YAML document in text that is not empty. The
// parameter name is the file name in positions. The error is a *Problems. If only
// single keys or values are faulty, such as a duplicate key, Parse returns both the
// error and the rest of the tree.
func Parse(name string, text []byte) ([]*Node, error) {
	ps := &Problems{}
	if !checkText(name, text, ps) {
		return nil, ps.Err()
	}
	tokens := lexer.Tokenize(string(text))
	if !checkTokens(name, tokens, ps) {
		return nil, ps.Err()
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		ps.Add(syntaxProblem(name, err))
		return nil, ps.Err()
	}
	c := converter{file: name, problems: ps}
	var docs []*Node
	for _, doc := range file.Docs {
		if !isEmpty(doc.Body) {
			docs = append(docs, c.node(doc.Body, "", Position{file: name, line: 1, column: 1}))
		}
	}
	return docs, ps.Err()
}

func isEmpty(n ast.Node) bool {
	if n == nil {
		return true
	}
	switch n.(type) {
	case *ast.NullNode, *ast.CommentGroupNode, *ast.CommentNode:
		return true
	}
	return false
}

func checkText(name string, text []byte, ps *Problems) bool {
	at := Position{file: name}
	if len(text) > MaxTextBytes {
		ps.Add(NewProblem(at, "", fmt.Sprintf("at most %d bytes", MaxTextBytes), fmt.Sprintf("%d bytes", len(text))))
		return false
	}
	if !utf8.Valid(text) {
		ps.Add(NewProblem(at, "", "UTF-8 text", "bytes that are not UTF-8"))
		return false
	}
	return true
}

func syntaxProblem(name string, err error) Problem {
	at := Position{file: name}
	var fault *yaml.SyntaxError
	if !errors.As(err, &fault) {
		return NewProblem(at, "", "valid YAML", err.Error())
	}
	if tk := fault.GetToken(); tk != nil && tk.Position != nil {
		at = NewPosition(name, tk.Position.Line, tk.Position.Column)
	}
	// GetMessage avoids fault.Error, whose running time grows with the square of the
	// length of the text.
	return NewProblem(at, "", "valid YAML", fault.GetMessage())
}
