package store

import (
	"context"
	"errors"
)

// Errors of Store implementations. They may be wrapped; test with errors.Is.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the object does not have the expected version. The
	// write had no effect.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable means that the store did not return a valid reply. A write
	// may have taken effect.
	ErrUnavailable = errors.New("store is unavailable")
)

// Special values for the expected version of a Put. With Absent, Put only creates
// the object; with Any, it writes unconditionally.
const (
	Absent uint64 = 0
	Any    uint64 = 1<<64 - 1
)

// Object is one version of a stored object, with a value of at most MaxValueBytes.
type Object struct {
	key     string
	version uint64
	value   []byte
}

// NewObject returns an Object. It is meant for implementations of Store.
func NewObject(key string, version uint64, value []byte) Object {
	return Object{key: key, version: version, value: value}
}

// Key returns the slash-separated key, for example "catalogue/current".
func (o Object) Key() string { return o.key }

// Version returns the version, which is never 0 and increases with every write of
// the object.
func (o Object) Version() uint64 { return o.version }

// Value returns the stored bytes. The caller must not modify them.
func (o Object) Value() []byte { return o.value }

// Store is the platform's object store. The platform limits the rate of calls;
// each long poll of a Watch counts as one call.
type Store interface {
	// Get returns the current object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object has the expected version, and returns the
	// new object. Otherwise it returns ErrConflict. After ErrUnavailable the
	// write may have taken effect.
	Put(ctx context.Context, key string, value []byte, expected uint64) (Object, error)
	// Watch waits until the object's version differs from seen and returns the
	// object. It returns the error of ctx if ctx ends first.
	Watch(ctx context.Context, key string, seen uint64) (Object, error)
	// List returns the objects whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
}
