package syntax

import "github.com/goccy/go-yaml/token"

// maxNulls bounds values that are left empty, because the time of the parser
// grows with their square. An empty value is a fault in every file, but it is
// reported with its path once the text is parsed.
const maxNulls = 1000

// nullCounter counts empty values from the tokens alone.
type nullCounter struct {
	before, previous *token.Token
	nulls            int
}

// add takes the next token and returns the number of empty values so far.
func (c *nullCounter) add(tk *token.Token) int {
	if c.previous != nil && c.empty(tk) {
		c.nulls++
	}
	c.before, c.previous = c.previous, tk
	return c.nulls
}

// empty reports whether tk shows that the previous entry has no value.
func (c *nullCounter) empty(tk *token.Token) bool {
	if tk.Position.Line == c.previous.Position.Line {
		return false
	}
	switch c.previous.Type {
	case token.SequenceEntryType:
		return tk.Position.Column <= c.previous.Position.Column
	case token.MappingValueType:
		if c.before == nil {
			return true
		}
		key := c.before.Position.Column
		// A list may stand in the column of its key.
		return tk.Position.Column < key || (tk.Position.Column == key && tk.Type != token.SequenceEntryType)
	default:
		return false
	}
}
