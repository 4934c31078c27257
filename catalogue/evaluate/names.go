package evaluate

import (
	"fmt"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// names finds duplicates among the names of one kind of entry.
type names struct {
	kind     string
	problems *syntax.Problems
	seen     map[string]*syntax.Node
}

func newNames(kind string, ps *syntax.Problems) names {
	return names{kind: kind, problems: ps, seen: make(map[string]*syntax.Node)}
}

// declare records that n declares name. An empty name had a fault of its own.
func (s *names) declare(name string, n *syntax.Node) {
	if name == "" {
		return
	}
	if first, dup := s.seen[name]; dup {
		s.problems.AddAt(n, "a "+s.kind+" that no other entry has", fmt.Sprintf("%q, which %s has too", name, first.Position()))
		return
	}
	s.seen[name] = n
}

func (s *names) has(name string) bool { return s.seen[name] != nil }
