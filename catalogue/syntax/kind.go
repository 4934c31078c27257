package syntax

// Kind is the YAML type of a Node.
type Kind int

// The kinds of Node.
const (
	Null Kind = iota
	Text
	Integer
	Float
	Bool
	Sequence
	Map
)

// String returns the kind for messages, with an article where needed.
func (k Kind) String() string {
	switch k {
	case Text:
		return "text"
	case Integer:
		return "an integer"
	case Float:
		return "a number"
	case Bool:
		return "a boolean"
	case Sequence:
		return "a list"
	case Map:
		return "a mapping"
	default:
		return "nothing"
	}
}
