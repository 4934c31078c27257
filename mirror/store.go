package mirror

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is the error of a watch from a revision that the store has
// forgotten; the kind must be listed again.
var ErrHistoryGone = errors.New("the store has dropped the history since this revision")

// Store is how the platform's store is read.
type Store struct {
	// List returns all objects of a kind and the store's revision.
	List func(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch returns the changes of a kind after a revision, and the revision
	// from which to continue. It returns none after wait.
	Watch func(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Ping makes a cheap call that shows whether the store answers.
	Ping func(ctx context.Context) error
}
