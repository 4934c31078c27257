package diff

import "fmt"

// Field is one value of an entry. For a change, after is the new value; otherwise it
// is empty.
type Field struct {
	name  string
	value string
	after string
}

// String returns "name value", or "name before -> after" for a change.
func (f Field) String() string {
	if f.after == "" {
		return f.name + " " + f.value
	}
	return fmt.Sprintf("%s %s -> %s", f.name, f.value, f.after)
}
