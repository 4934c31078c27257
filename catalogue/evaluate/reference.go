package evaluate

import (
	"fmt"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// reference is a use of a name that may be declared later in the text.
type reference struct {
	node *syntax.Node
	in   *names
	name string
}

func (e *evaluator) refer(n *syntax.Node, in *names, name string) {
	if name != "" {
		e.refs = append(e.refs, reference{node: n, in: in, name: name})
	}
}

func (e *evaluator) resolve() {
	for _, r := range e.refs {
		if !r.in.has(r.name) {
			e.problems.AddAt(r.node, "the name of a declared "+r.in.kind, fmt.Sprintf("%q, which is not declared", r.name))
		}
	}
}
