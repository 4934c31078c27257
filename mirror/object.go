package mirror

import "bytes"

// Object is one object of the store, in its encoded form.
type Object struct {
	name     string
	era      uint64 // Set by the mirror.
	revision uint64
	spec     []byte
	status   []byte
}

// NewObject returns the object with the given name at a store revision. Spec
// and status are in the encoding received from the store.
func NewObject(name string, revision uint64, spec, status []byte) Object {
	return Object{name: name, revision: revision, spec: spec, status: status}
}

// Name returns the object's name, which is unique within its kind.
func (o Object) Name() string { return o.name }

// Revision returns the store revision of the last change.
func (o Object) Revision() uint64 { return o.revision }

// Position returns the position of the last change. In an object that comes from
// a mirror, it is in the era in which the object was read.
func (o Object) Position() Position { return NewPosition(o.era, o.revision) }

// in returns the object as read in an era.
func (o Object) in(era uint64) Object {
	o.era = era
	return o
}

// Spec returns the encoded specification.
func (o Object) Spec() []byte { return o.spec }

// Status returns the encoded status.
func (o Object) Status() []byte { return o.status }

func (o Object) equal(p Object) bool {
	return o.name == p.name && bytes.Equal(o.spec, p.spec) && bytes.Equal(o.status, p.status)
}

// Event is a change of one object.
type Event struct {
	object  Object
	deleted bool
}

// NewEvent returns the event that o was set, or that it was deleted.
func NewEvent(o Object, deleted bool) Event { return Event{object: o, deleted: deleted} }

// Object returns the object after the change, or its state before the deletion.
func (e Event) Object() Object { return e.object }

// Deleted reports whether the object was deleted.
func (e Event) Deleted() bool { return e.deleted }
