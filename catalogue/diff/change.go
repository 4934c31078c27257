package diff

import (
	"fmt"
	"strings"
)

// Verb is what happened to an entry.
type Verb string

// The verbs, as they stand at the start of a line.
const (
	Added   Verb = "+"
	Removed Verb = "-"
	Changed Verb = "~"
)

// Change is one line of a difference.
type Change struct {
	verb   Verb
	kind   string
	name   string
	count  int
	fields []Field
}

// Verb is what happened.
func (c Change) Verb() Verb { return c.verb }

// Kind is the kind of the entry, for example "service".
func (c Change) Kind() string { return c.kind }

// Name names the entry, or the first and last of several equal changes.
func (c Change) Name() string { return c.name }

// Count is the number of entries that changed alike.
func (c Change) Count() int { return c.count }

// Fields are the changed values, or all values of an added or removed entry.
func (c Change) Fields() []Field { return c.fields }

// String returns the line without a line break.
func (c Change) String() string {
	var values []string
	for _, f := range c.fields {
		values = append(values, f.String())
	}
	what := c.kind
	if c.count > 1 {
		what = fmt.Sprintf("%d %ss", c.count, c.kind)
	}
	return fmt.Sprintf("%s %s %s: %s", c.verb, what, c.name, strings.Join(values, ", "))
}
