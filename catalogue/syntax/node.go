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

// Path leads from the root to the value.
func (n *Node) Path() string { return n.path }

// Scalar is the text of a scalar, without quotes.
func (n *Node) Scalar() string { return n.scalar }

// Items are the elements of a Sequence.
func (n *Node) Items() []*Node { return n.items }

// Entries are the keys of a Map in the order of the text.
func (n *Node) Entries() []Entry { return n.entries }

// Found describes the value for a Problem, shortened to maxFound characters.
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

// maxFound keeps a message on one readable line.
const maxFound = 60

func shorten(s string) string {
	r := []rune(s)
	if len(r) <= maxFound {
		return s
	}
	return string(r[:maxFound]) + "..."
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

// NewMap returns a mapping without keys, for a section that the text leaves out.
func NewMap(at Position, path string) *Node { return &Node{kind: Map, position: at, path: path} }
