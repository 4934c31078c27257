package syntax

import "fmt"

// Position is a place in an input text. Line and column count from 1; both are
// 0 for a fault of the text as a whole.
type Position struct {
	file   string
	line   int
	column int
}

// NewPosition returns the Position of line and column in file.
func NewPosition(file string, line, column int) Position {
	return Position{file: file, line: line, column: column}
}

// File names the input text.
func (p Position) File() string { return p.file }

// Line counts from 1.
func (p Position) Line() int { return p.line }

// Column counts characters from 1.
func (p Position) Column() int { return p.column }

// String returns file:line:column, which editors recognise.
func (p Position) String() string {
	if p.line == 0 {
		return p.file
	}
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}
