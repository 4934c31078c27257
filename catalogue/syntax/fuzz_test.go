package syntax_test

import (
	"bytes"
	"testing"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Guards against a text that makes Parse panic, and against a value or fault whose
// position lies outside the text. All daemons parse the catalogue from the store, so
// a panic would end all of them.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "a: 1", "a: [1, two, 3.5, true, null, ~]", "- {a: b}\n- |\n  text\n  more\n- >-\n  folded",
		"a: 1\na: 2", "? [a]\n: b", "a: &x 1\nb: *x", "<<: {a: 1}", "!!str a", "%YAML 1.2\n---\na", "---\na: 1\n---\nb: 2\n...",
		"a: 'it''s'\nb: \"\\u00e9\\n\"", "a:\n\t- b", "{", "[[[[", "- - - - a", "a: .inf\nb: .nan\nc: 0x1f\nd: 1e400", "# comment\n", "\xff", "a: {b: {c: [}}}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		docs, err := syntax.Parse("f", text)
		lines := bytes.Count(text, []byte("\n")) + bytes.Count(text, []byte("\r")) + 1
		if err != nil {
			for _, p := range err.(*syntax.Problems).List() {
				checkPosition(t, p.Position(), lines)
			}
		}
		for _, d := range docs {
			checkNode(t, d, lines)
		}
	})
}

func checkNode(t *testing.T, n *syntax.Node, lines int) {
	t.Helper()
	checkPosition(t, n.Position(), lines)
	for _, i := range n.Items() {
		checkNode(t, i, lines)
	}
	for _, e := range n.Entries() {
		checkPosition(t, e.Position(), lines)
		checkNode(t, e.Value(), lines)
	}
}

func checkPosition(t *testing.T, p syntax.Position, lines int) {
	t.Helper()
	if p.Line() < 0 || p.Line() > lines || p.Column() < 0 {
		t.Fatalf("position %s in a text of %d lines", p, lines)
	}
}
