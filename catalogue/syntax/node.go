package syntax

import "strconv"

// Node is one value of the parsed text with its position and path.
type Node struct {
	kind     Kind
	position Position
	path     string
	scalar   string
	items    []*Node
	entries  []Entry
}

// Kind is the YAML type of the value.
func (n *Node) Kind() Kind { return n.kind }

// Position is where the value starts.
func (n *Node) Position() Position { return n.position }

// Path is the path from the root to the value, for example "services[2].shards.count".
func (n *Node) Path() string { return n.path }

// Scalar is the text of a scalar, without quotes.
func (n *Node) Scalar() string { return n.scalar }

// Items are the elements of a Sequence.
func (n *Node) Items() []*Node { return n.items }

// Entries are the keys and values of a Map in the order of the text.
func (n *Node) Entries() []Entry { return n.entries }

// Found describes the value for a Problem. The text of a scalar is shortened to
// maxFoundRunes.
func (n *Node) Found() string {
	switch n.kind {
	case Text:
		return strconv.Quote(shorten(n.scalar))
	case Integer, Float, Bool:
		return n.kind.String() + " " + shorten(n.scalar)
	default:
		return n.kind.String()
	}
}

// maxFoundRunes bounds the text of a scalar in a message, so that the message fits on
// one line.
const maxFoundRunes = 60

func shorten(s string) string {
	r := []rune(s)
	if len(r) <= maxFoundRunes {
		return s
	}
	return string(r[:maxFoundRunes]) + "..."
}

func childPath(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}

func itemPath(parent string, i int) string {
	return parent + "[" + strconv.Itoa(i) + "]"
}

// NewMap returns a mapping without keys, for a section that the text omits.
func NewMap(at Position, path string) *Node { return &Node{kind: Map, position: at, path: path} }
