package catalogue

// Class is the service class of a request or entry.
type Class string

// The service classes, most urgent first.
const (
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// Valid reports whether c is one of the declared classes.
func (c Class) Valid() bool { return c == Interactive || c == Batch }
