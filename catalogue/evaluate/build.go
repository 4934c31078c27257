package evaluate

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/load"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// build does the checks that need all documents and returns the estate's values.
func (e *evaluator) build(sources []load.Source) catalogue.EstateSpec {
	e.checkReferences()
	name := ""
	if len(sources) > 0 {
		name = sources[0].Name()
	}
	at := syntax.NewPosition(name, 1, 1)
	inService := false
	for _, d := range e.spec.Domains {
		inService = inService || d.InService()
	}
	if !inService {
		e.problems.Add(syntax.NewProblem(at, "domains", "at least one failure domain in service", "none"))
	}
	if len(e.spec.Owners) == 0 {
		e.problems.Add(syntax.NewProblem(at, "owners", "at least one owner", "none"))
	}
	if len(e.spec.Services) == 0 {
		e.problems.Add(syntax.NewProblem(at, "services", "at least one service", "none"))
	}
	return e.spec
}
