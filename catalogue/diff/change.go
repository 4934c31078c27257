package diff

import (
	"fmt"
	"strings"
)

// Operation is the kind of a Change: added, removed or changed.
type Operation string

// The operations, as written at the start of a line.
const (
	Added   Operation = "+"
	Removed Operation = "-"
	Changed Operation = "~"
)

// Change is one difference between two estates, written as one line.
type Change struct {
	operation Operation
	kind      string
	name      string
	count     int
	fields    []Field
}

// Operation returns whether the entry was added, removed or changed.
func (c Change) Operation() Operation { return c.operation }

// Kind is the kind of the entry, for example "service".
func (c Change) Kind() string { return c.kind }

// Name is the name of the entry, or "first to last" if Count is more than 1.
func (c Change) Name() string { return c.name }

// Count is the number of entries that the Change covers. All of them changed in the same
// way.
func (c Change) Count() int { return c.count }

// Fields are the changed values, or all values of an added or removed entry.
func (c Change) Fields() []Field { return c.fields }

// String returns the line without a newline.
func (c Change) String() string {
	var values []string
	for _, f := range c.fields {
		values = append(values, f.String())
	}
	subject := c.kind
	if c.count > 1 {
		subject = fmt.Sprintf("%d %ss", c.count, c.kind)
	}
	return fmt.Sprintf("%s %s %s: %s", c.operation, subject, c.name, strings.Join(values, ", "))
}
