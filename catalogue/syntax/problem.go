package syntax

import "fmt"

// Problem is one fault in an input text.
type Problem struct {
	position Position
	path     string
	expected string
	found    string
}

// NewProblem returns a Problem at the given position and path. The texts expected and
// found describe the accepted values and the value in the text.
func NewProblem(at Position, path, expected, found string) Problem {
	return Problem{position: at, path: path, expected: expected, found: found}
}

// Position is the position of the fault.
func (p Problem) Position() Position { return p.position }

// Path is the path from the root to the faulty value, for example
// "services[2].shards.count".
func (p Problem) Path() string { return p.path }

// Expected describes the accepted values.
func (p Problem) Expected() string { return p.expected }

// Found describes the value in the text.
func (p Problem) Found() string { return p.found }

// Error returns "position: path: expected ..., found ..." on one line.
func (p Problem) Error() string {
	path := p.path
	if path == "" {
		path = "(root)"
	}
	return fmt.Sprintf("%s: %s: expected %s, found %s", p.position, path, p.expected, p.found)
}
