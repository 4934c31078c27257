package mirror

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"
)

// ErrHistoryGone is returned by a watch from a revision whose history the store
// has dropped. The kind must then be listed again.
var ErrHistoryGone = errors.New("the store has dropped the history since this revision")

// Store holds the functions with which a mirror reads the platform's store.
type Store struct {
	// List returns all objects of a kind.
	List func(ctx context.Context, kind string) (Listing, error)
	// Watch returns the changes of a kind after a position, and the position from
	// which to continue. It returns no events if none occur within wait, and
	// ErrEraChanged if the era of the position has ended.
	Watch func(ctx context.Context, kind string, after Position, wait time.Duration) ([]Event, Position, error)
	// Ping sends a cheap request that shows whether the store answers.
	Ping func(ctx context.Context) error
}

// Listing holds all objects of a kind.
type Listing struct {
	objects  []Object
	position Position
	until    Position // Of the last page; the objects are of any position from the first one on.
	// unconfirmed means that no watch has confirmed that nothing was deleted between the
	// pages.
	unconfirmed bool
	calls       int
}

// NewListing returns a list of objects taken at the given position, which took
// the given number of calls, at least 1.
func NewListing(objects []Object, at Position, calls int) Listing {
	return Listing{objects: objects, position: at, until: at, calls: calls}
}

// ReadUntil returns l, whose last page was read at the given position. Objects of later
// pages may be newer than l's position, and objects may be missing that were deleted after
// it.
func (l Listing) ReadUntil(until Position) Listing {
	l.until, l.unconfirmed = until, l.position.Before(until)
	return l
}

// withoutLater returns l, whose pages differ only by deletions, if at all.
func (l Listing) withoutLater() Listing {
	l.until = l.position
	return l
}

// mixed reports whether the objects may be of several positions.
func (l Listing) mixed() bool { return l.position.Before(l.until) }

// hasLater reports whether an object is newer than l's position.
func (l Listing) hasLater() bool {
	return slices.ContainsFunc(l.objects, func(o Object) bool { return o.revision > l.position.revision })
}

// advance applies all changes between l's position and one at or after the last page. The
// last change of an object is its state there.
func (l Listing) advance(events []Event, at Position) Listing {
	byName := make(map[string]Object, len(l.objects))
	for _, o := range l.objects {
		byName[o.name] = o
	}
	for _, e := range events {
		if e.deleted {
			delete(byName, e.object.name)
		} else {
			byName[e.object.name] = e.object
		}
	}
	l.objects = slices.SortedFunc(maps.Values(byName), func(a, b Object) int { return cmp.Compare(a.name, b.name) })
	l.position, l.until, l.unconfirmed = at, at, false
	return l
}

// Objects returns the objects.
func (l Listing) Objects() []Object { return l.objects }

// Position returns the position at which the list was taken.
func (l Listing) Position() Position { return l.position }
