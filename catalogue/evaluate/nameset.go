package evaluate

import (
	"fmt"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// nameSet records the declared names of one kind of entry and reports duplicates.
type nameSet struct {
	kind     string
	problems *syntax.Problems
	seen     map[string]*syntax.Node
}

func newNameSet(kind string, ps *syntax.Problems) nameSet {
	return nameSet{kind: kind, problems: ps, seen: make(map[string]*syntax.Node)}
}

// declare records that n declares name, or a Problem if another node has declared it.
// An empty name is ignored, because its fault is already recorded.
func (s *nameSet) declare(name string, n *syntax.Node) {
	if name == "" {
		return
	}
	if first, dup := s.seen[name]; dup {
		s.problems.AddAt(n, "a "+s.kind+" that no other entry has", fmt.Sprintf("%q, already declared at %s", name, first.Position()))
		return
	}
	s.seen[name] = n
}

func (s *nameSet) has(name string) bool { return s.seen[name] != nil }
