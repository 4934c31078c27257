package syntax

import "github.com/goccy/go-yaml/token"

// maxNulls bounds the number of empty values, because the parser's time grows with
// the square of that number. Up to this bound, each empty value is reported as a fault
// with its path after parsing.
const maxNulls = 1000

// nullCounter counts empty values in the token sequence, before the text is parsed.
type nullCounter struct {
	beforePrevious, previous *token.Token
	nulls                    int
}

// add processes the next token and returns the number of empty values so far.
func (c *nullCounter) add(tk *token.Token) int {
	if c.previous != nil && c.previousLacksValue(tk) {
		c.nulls++
	}
	c.beforePrevious, c.previous = c.previous, tk
	return c.nulls
}

// previousLacksValue reports whether the entry that ends with the previous token has
// no value, given that tk follows.
func (c *nullCounter) previousLacksValue(tk *token.Token) bool {
	if tk.Position.Line == c.previous.Position.Line {
		return false
	}
	switch c.previous.Type {
	case token.SequenceEntryType:
		return tk.Position.Column <= c.previous.Position.Column
	case token.MappingValueType:
		if c.beforePrevious == nil {
			return true
		}
		key := c.beforePrevious.Position.Column
		// A list may start in the same column as its key.
		return tk.Position.Column < key || (tk.Position.Column == key && tk.Type != token.SequenceEntryType)
	default:
		return false
	}
}
