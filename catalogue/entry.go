package catalogue

// EntrySpec holds the values that NewEntry takes.
type EntrySpec struct {
	// Name is unique among entries of one kind.
	Name string
	// Owner names the owner whose traffic and limits the entry is accounted to.
	Owner string
	// Class is the service class of the entry.
	Class Class
	// Limits bounds what the entry may carry.
	Limits Limits
}

// Entry is what every catalogue entry has in common: a name, an owner, a class and limits.
type Entry struct {
	spec EntrySpec
}

// NewEntry returns the immutable Entry that spec describes.
func NewEntry(spec EntrySpec) Entry {
	return Entry{spec: spec}
}

// Name is unique among entries of one kind.
func (e Entry) Name() string { return e.spec.Name }

// Owner names the owner whose traffic and limits the entry is accounted to.
func (e Entry) Owner() string { return e.spec.Owner }

// Class is the service class of the entry.
func (e Entry) Class() Class { return e.spec.Class }

// Limits bounds what the entry may carry.
func (e Entry) Limits() Limits { return e.spec.Limits }
