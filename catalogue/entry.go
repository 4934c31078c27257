package catalogue

// EntrySpec holds the values that NewEntry takes.
type EntrySpec struct {
	// Name is unique among entries of one kind.
	Name string
	// Owner names the owner to whom the entry's traffic and limits are attributed.
	Owner string
	// Class is the service class of the entry.
	Class Class
	// Limits bounds the request rate and concurrency of the entry.
	Limits Limits
}

// Entry is the common part of all catalogue entries: name, owner, class and limits.
type Entry struct {
	spec EntrySpec
}

// NewEntry returns the immutable Entry that spec describes.
func NewEntry(spec EntrySpec) Entry {
	return Entry{spec: spec}
}

// Name is unique among entries of one kind.
func (e Entry) Name() string { return e.spec.Name }

// Owner names the owner to whom the entry's traffic and limits are attributed.
func (e Entry) Owner() string { return e.spec.Owner }

// Class is the service class of the entry.
func (e Entry) Class() Class { return e.spec.Class }

// Limits bounds the request rate and concurrency of the entry.
func (e Entry) Limits() Limits { return e.spec.Limits }
