package store

import (
	"context"
	"errors"

	"medlaryard.example/medlaryard/meter"
)

// Counted is a Store that passes all calls to another Store and counts them by
// operation and outcome, for example in the metric "store.put.conflict".
type Counted struct{ next Store }

var _ Store = (*Counted)(nil)

// NewCounted returns a Counted that wraps s.
func NewCounted(s Store) *Counted { return &Counted{next: s} }

// Get implements Store.
func (c *Counted) Get(ctx context.Context, key string) (Object, error) {
	o, err := c.next.Get(ctx, key)
	count("get", err)
	return o, err
}

// Put implements Store.
func (c *Counted) Put(ctx context.Context, key string, value []byte, expected uint64) (Object, error) {
	o, err := c.next.Put(ctx, key, value, expected)
	count("put", err)
	return o, err
}

// Watch implements Store.
func (c *Counted) Watch(ctx context.Context, key string, seen uint64) (Object, error) {
	o, err := c.next.Watch(ctx, key, seen)
	count("watch", err)
	return o, err
}

// List implements Store.
func (c *Counted) List(ctx context.Context, prefix string) ([]Object, error) {
	o, err := c.next.List(ctx, prefix)
	count("list", err)
	return o, err
}

func count(operation string, err error) {
	meter.Count("store."+operation+"."+outcome(err), 1)
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "ended"
	default:
		return "failed"
	}
}
