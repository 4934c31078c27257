package syntax

import "github.com/goccy/go-yaml/token"

// maxKeys bounds the keys of one mapping, because the time of the parser grows
// with their square. The largest mapping of a catalogue has about 20.
const maxKeys = 1000

// keyCounter counts the keys of each open mapping from the tokens alone.
type keyCounter struct {
	block []keyCount // Open block mappings, by rising column.
	flow  []int      // Keys of open flow collections.
}

type keyCount struct{ column, keys int }

// add takes the next token and returns the number of keys so far of the mapping
// that it belongs to.
func (c *keyCounter) add(previous, tk *token.Token) int {
	switch tk.Type {
	case token.MappingStartType, token.SequenceStartType:
		c.flow = append(c.flow, 0)
	case token.MappingEndType, token.SequenceEndType:
		if len(c.flow) > 0 {
			c.flow = c.flow[:len(c.flow)-1]
		}
	case token.DocumentHeaderType:
		c.block = nil
	case token.SequenceEntryType:
		c.close(tk.Position.Column)
	case token.MappingValueType:
		return c.key(previous)
	}
	return 0
}

func (c *keyCounter) key(key *token.Token) int {
	if n := len(c.flow); n > 0 {
		c.flow[n-1]++
		return c.flow[n-1]
	}
	column := 0
	if key != nil {
		column = key.Position.Column
	}
	c.close(column)
	if n := len(c.block); n == 0 || c.block[n-1].column < column {
		c.block = append(c.block, keyCount{column: column})
	}
	top := &c.block[len(c.block)-1]
	top.keys++
	return top.keys
}

// close ends the block mappings to the right of column.
func (c *keyCounter) close(column int) {
	for n := len(c.block); n > 0 && c.block[n-1].column > column; n-- {
		c.block = c.block[:n-1]
	}
}
