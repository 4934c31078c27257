package evaluate

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// evaluator collects the declarations, references and faults of the documents read so
// far.
type evaluator struct {
	problems      *syntax.Problems
	spec          catalogue.EstateSpec
	domains       nameSet
	owners        nameSet
	services      nameSet
	addresses     nameSet
	keys          nameSet
	references    []reference
	searcherCount int
}

func newEvaluator(ps *syntax.Problems) *evaluator {
	return &evaluator{
		problems:  ps,
		domains:   newNameSet("failure domain", ps),
		owners:    newNameSet("owner", ps),
		services:  newNameSet("service", ps),
		addresses: newNameSet("searcher address", ps),
		keys:      newNameSet("key digest", ps),
	}
}

// document reads one YAML document.
func (e *evaluator) document(n *syntax.Node) {
	m := syntax.ReadMapping(n, e.problems)
	root := e.root(m)
	for _, n := range m.List("domains") {
		e.domain(n, root)
	}
	for _, n := range m.List("owners") {
		e.owner(n, root)
	}
	for _, n := range m.List("services") {
		e.service(n, root)
	}
	m.Close()
}

// root reads the owner, class and limits that the entries of a document inherit.
func (e *evaluator) root(m *syntax.Mapping) catalogue.EntrySpec {
	var root catalogue.EntrySpec
	if n := m.Get("owner"); n != nil {
		root.Owner = e.ownerName(n)
	}
	if n := m.Get("class"); n != nil {
		root.Class = e.class(n)
	}
	if n := m.Get("limits"); n != nil {
		root.Limits = e.limits(n)
	}
	return root
}
