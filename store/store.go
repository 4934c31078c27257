package store

import (
	"context"
	"errors"
)

// Errors that every Store returns, tested with errors.Is.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the object's version is not the expected one; the write did not happen.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable means that the store did not answer. A write may have taken effect.
	ErrUnavailable = errors.New("store is unavailable")
)

// Any is the expected version of an unconditional Put, Absent that of a create.
const (
	Absent uint64 = 0
	Any    uint64 = 1<<64 - 1
)

// Object is one stored value of at most 1 MB.
type Object struct {
	key     string
	version uint64
	value   []byte
}

// NewObject returns an Object; only adapters and stand-ins call it.
func NewObject(key string, version uint64, value []byte) Object {
	return Object{key: key, version: version, value: value}
}

// Key returns the key, slash separated, for example "catalogue/current".
func (o Object) Key() string { return o.key }

// Version returns the version, which grows with every write of the object and is never 0.
func (o Object) Version() uint64 { return o.version }

// Value returns the stored bytes, which must not be changed.
func (o Object) Value() []byte { return o.value }

// Store is the platform's object API. Each call counts against its rates; a
// waiting Watch counts as one.
type Store interface {
	// Get returns the current object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object has the expected version and returns the
	// new object, or ErrConflict. After ErrUnavailable the write may have
	// taken effect.
	Put(ctx context.Context, key string, value []byte, expected uint64) (Object, error)
	// Watch waits until the object's version differs from seen, or ctx ends.
	Watch(ctx context.Context, key string, seen uint64) (Object, error)
	// List returns the objects whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
}
