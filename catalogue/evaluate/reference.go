package evaluate

import (
	"fmt"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// reference is the use of a name whose declaration may follow later in the text.
type reference struct {
	node     *syntax.Node
	declared *nameSet
	name     string
}

func (e *evaluator) addReference(n *syntax.Node, declared *nameSet, name string) {
	if name != "" {
		e.references = append(e.references, reference{node: n, declared: declared, name: name})
	}
}

func (e *evaluator) checkReferences() {
	for _, r := range e.references {
		if !r.declared.has(r.name) {
			e.problems.AddAt(r.node, "the name of a declared "+r.declared.kind, fmt.Sprintf("%q, which is not declared", r.name))
		}
	}
}
