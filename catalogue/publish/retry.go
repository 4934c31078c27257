package publish

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/clock"
)

const (
	// maxFailures bounds the failed calls of one change while the store is
	// unavailable; with the pauses below it gives up after about 6 s.
	maxFailures = 6
	// firstPause is the wait after the first failure; it doubles with each further one.
	firstPause = 200 * time.Millisecond
)

// retry paces the calls of one change and gives up with its Unknown.
type retry struct {
	clock    clock.Clock
	pause    time.Duration
	failures int
	unknown  Unknown
}

// wait pauses after the failure cause, or returns the error to give up with.
func (r *retry) wait(ctx context.Context, cause error) error {
	r.failures++
	if r.failures >= maxFailures || clock.Sleep(ctx, r.clock, r.pause) != nil {
		return r.giveUp(cause)
	}
	r.pause *= 2
	return nil
}

func (r *retry) giveUp(cause error) error {
	u := r.unknown
	u.cause = cause
	return &u
}
