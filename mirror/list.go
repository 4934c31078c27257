package mirror

import (
	"context"
	"errors"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
)

// list replaces the mirror's objects of a kind by those of the store and returns
// the number of calls that this took.
func (f *Follower) list(ctx context.Context, kind string, timeout time.Duration) (int, error) {
	began, given := f.clock.Boot(), ctx
	ctx, cancel := clock.WithDeadline(ctx, f.clock, began+timeout)
	defer cancel()
	l, err := f.store.List(ctx, kind)
	f.recordContact(err)
	if given.Err() == nil { // Otherwise the caller has given the call up.
		f.health.record(kind, err, f.clock.Boot())
	}
	if err != nil {
		return 0, err
	}
	if l.mixed() {
		callTime := (f.clock.Boot() - began) / time.Duration(max(l.calls, 1))
		if l, err = f.catchUp(ctx, kind, l, watchGrace(callTime, 0)); err != nil {
			return 0, err
		}
	}
	f.confirmed.Store(kind, f.clock.Boot())
	f.mirror.replace(kind, l)
	return l.calls, nil
}

// catchUpWait is the time for which a watch waits that reads the changes between the pages
// of a list; they have been made already.
const catchUpWait = time.Millisecond

// catchUp applies the changes that were made between the pages of a list, so that its
// objects are of one position. Without the changes within the timeout it returns the list as
// it is: the objects would be missing otherwise, and the next watch returns the changes.
func (f *Follower) catchUp(ctx context.Context, kind string, l Listing, timeout time.Duration) (Listing, error) {
	ctx, cancel := clock.WithDeadline(ctx, f.clock, f.clock.Boot()+timeout)
	defer cancel()
	var all []Event
	for at := l.position; ; {
		events, next, err := f.store.Watch(ctx, kind, at, catchUpWait)
		if errors.Is(err, ErrEraChanged) {
			return l, err
		}
		if err == nil && len(all)+len(events) == 0 && !l.hasLater() {
			return l.withoutLater(), nil // Probably only other kinds have changed.
		}
		if err != nil || len(events) == 0 || !at.Before(next) {
			meter.Count("mirror.store.list_mixed", 1)
			f.log.Info().Err(err).Str("kind", kind).Uint64("from", l.position.revision).Uint64("until", l.until.revision).
				Msg("changes between the pages of a list are not known; objects may be newer than their version")
			return l, nil
		}
		all = append(all, events...)
		if !next.Before(l.until) {
			return l.advance(all, next), nil
		}
		at = next
	}
}
