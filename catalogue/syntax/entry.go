package syntax

// Entry is one key of a mapping with its value.
type Entry struct {
	key      string
	position Position
	value    *Node
}

// Key is the text of the key.
func (e Entry) Key() string { return e.key }

// Position is the position of the key.
func (e Entry) Position() Position { return e.position }

// Value is the value of the key.
func (e Entry) Value() *Node { return e.value }
