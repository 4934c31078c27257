package refusal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"testing"
)

// Guards against a declared kind with no answer or with several.
func TestEveryKindHasOneAnswer(t *testing.T) {
	rows := make(map[Kind]int)
	for _, a := range Table() {
		rows[a.Kind()]++
	}
	for name, kind := range declaredKinds(t) {
		if kind == string(None) {
			continue
		}
		if rows[Kind(kind)] != 1 {
			t.Errorf("%s has %d rows in the table, want 1", name, rows[Kind(kind)])
		}
	}
}

// declaredKinds returns the kinds declared in kind.go by the names of their constants.
func declaredKinds(t *testing.T) map[string]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "kind.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	kinds := make(map[string]string)
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		lit := spec.Values[0].(*ast.BasicLit).Value
		kinds[spec.Names[0].Name] = lit[1 : len(lit)-1]
		return true
	})
	if len(kinds) < 20 {
		t.Fatalf("found only %d kinds in kind.go", len(kinds))
	}
	return kinds
}
