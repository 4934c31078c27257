package syntax

import "fmt"

// Position is a place in an input text. Line and column count from 1; both are 0 if
// the position refers to the text as a whole.
type Position struct {
	file   string
	line   int
	column int
}

// NewPosition returns the Position of line and column in file.
func NewPosition(file string, line, column int) Position {
	return Position{file: file, line: line, column: column}
}

// File is the name of the input text.
func (p Position) File() string { return p.file }

// Line is the line number, counted from 1.
func (p Position) Line() int { return p.line }

// Column is the column number in characters, counted from 1.
func (p Position) Column() int { return p.column }

// String returns file:line:column, which editors recognise, or only the file if the
// position refers to the text as a whole.
func (p Position) String() string {
	if p.line == 0 {
		return p.file
	}
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}
