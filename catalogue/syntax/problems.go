package syntax

import (
	"errors"
	"sort"
	"strings"
)

// Problems is the list of faults of one input. It implements error.
type Problems struct {
	list []Problem
}

// Add records p.
func (ps *Problems) Add(p Problem) { ps.list = append(ps.list, p) }

// AddAt records a Problem at the position and path of n.
func (ps *Problems) AddAt(n *Node, expected, found string) {
	ps.Add(NewProblem(n.Position(), n.Path(), expected, found))
}

// Merge records err: each Problem of a *Problems, or any other error as one Problem
// without a position. It ignores nil.
func (ps *Problems) Merge(err error) {
	var other *Problems
	if errors.As(err, &other) {
		ps.list = append(ps.list, other.list...)
	} else if err != nil {
		ps.Add(NewProblem(Position{}, "", "readable text", err.Error()))
	}
}

// List returns the faults sorted by file, line and column.
func (ps *Problems) List() []Problem {
	sorted := append([]Problem(nil), ps.list...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i].position, sorted[j].position
		if a.file != b.file {
			return a.file < b.file
		}
		if a.line != b.line {
			return a.line < b.line
		}
		return a.column < b.column
	})
	return sorted
}

// Err returns ps as an error, or nil if it has no faults.
func (ps *Problems) Err() error {
	if len(ps.list) == 0 {
		return nil
	}
	return ps
}

// Error returns one line for each fault.
func (ps *Problems) Error() string {
	var lines []string
	for _, p := range ps.List() {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}
