package syntax

import "github.com/goccy/go-yaml/token"

// maxKeys bounds the keys of one mapping, because the parser's time grows with the
// square of their number. The largest mapping of a catalogue has about 20 keys.
const maxKeys = 1000

// keyCounter counts the keys of each open mapping in the token sequence, before the
// text is parsed.
type keyCounter struct {
	blocks   []keyCount // Open block mappings in ascending order of column.
	flowKeys []int      // Number of keys in each open flow collection.
}

type keyCount struct{ column, keys int }

// add processes the token tk, which follows previous. If tk ends a key, add returns
// the number of keys so far in the key's mapping; otherwise it returns 0.
func (c *keyCounter) add(previous, tk *token.Token) int {
	switch tk.Type {
	case token.MappingStartType, token.SequenceStartType:
		c.flowKeys = append(c.flowKeys, 0)
	case token.MappingEndType, token.SequenceEndType:
		if len(c.flowKeys) > 0 {
			c.flowKeys = c.flowKeys[:len(c.flowKeys)-1]
		}
	case token.DocumentHeaderType:
		c.blocks = nil
	case token.SequenceEntryType:
		c.closeBlocks(tk.Position.Column)
	case token.MappingValueType:
		return c.countKey(previous)
	}
	return 0
}

func (c *keyCounter) countKey(key *token.Token) int {
	if n := len(c.flowKeys); n > 0 {
		c.flowKeys[n-1]++
		return c.flowKeys[n-1]
	}
	column := 0
	if key != nil {
		column = key.Position.Column
	}
	c.closeBlocks(column)
	if n := len(c.blocks); n == 0 || c.blocks[n-1].column < column {
		c.blocks = append(c.blocks, keyCount{column: column})
	}
	top := &c.blocks[len(c.blocks)-1]
	top.keys++
	return top.keys
}

// closeBlocks removes the block mappings whose keys start to the right of column.
func (c *keyCounter) closeBlocks(column int) {
	for n := len(c.blocks); n > 0 && c.blocks[n-1].column > column; n-- {
		c.blocks = c.blocks[:n-1]
	}
}
