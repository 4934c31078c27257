package syntax

import "fmt"

// Problem is one fault in an input text.
type Problem struct {
	position Position
	path     string
	expected string
	found    string
}

// NewProblem returns the Problem that path expected one thing and another was found.
func NewProblem(at Position, path, expected, found string) Problem {
	return Problem{position: at, path: path, expected: expected, found: found}
}

// Position is where the fault stands.
func (p Problem) Position() Position { return p.position }

// Path leads from the root to the faulty value, for example "services[2].shards.count".
func (p Problem) Path() string { return p.path }

// Expected states what would have been accepted.
func (p Problem) Expected() string { return p.expected }

// Found states what stands there instead.
func (p Problem) Found() string { return p.found }

// Error returns position, path, expectation and finding on one line.
func (p Problem) Error() string {
	path := p.path
	if path == "" {
		path = "(root)"
	}
	return fmt.Sprintf("%s: %s: expected %s, found %s", p.position, path, p.expected, p.found)
}
