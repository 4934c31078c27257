package evaluate

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/load"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Text checks one text and returns the estate that its YAML documents together
// declare, at the given generation. The parameter name is the file name in
// positions. The error is a *syntax.Problems.
func Text(name string, text []byte, generation uint64) (catalogue.Estate, error) {
	return Sources([]load.Source{load.Text(name, text)}, generation)
}

// Sources is like Text for an estate that several files declare together.
func Sources(sources []load.Source, generation uint64) (catalogue.Estate, error) {
	ps := &syntax.Problems{}
	var docs []*syntax.Node
	readable := true
	for _, s := range sources {
		parsed, err := syntax.Parse(s.Name(), s.Text())
		ps.Merge(err)
		readable = readable && (err == nil || parsed != nil)
		docs = append(docs, parsed...)
	}
	// References cannot be checked if a part of the text is unreadable, since that
	// part may contain their declarations.
	if !readable {
		return catalogue.Estate{}, ps.Err()
	}
	e := newEvaluator(ps)
	for _, doc := range docs {
		e.document(doc)
	}
	spec := e.build(sources)
	if err := ps.Err(); err != nil {
		return catalogue.Estate{}, err
	}
	spec.Generation = generation
	return catalogue.NewEstate(spec), nil
}
