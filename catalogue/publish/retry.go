package publish

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/clock"
)

const (
	// maxFailures bounds the failed store calls of one change. With the backoff
	// below, a change gives up after about 6 s.
	maxFailures = 6
	// defaultInitialBackoff is the delay after the first failed call; it doubles with
	// each further one.
	defaultInitialBackoff = 200 * time.Millisecond
)

// retry delays the store calls of one change after failures. When it gives up, it
// returns a copy of unknownError.
type retry struct {
	clock        clock.Clock
	backoff      time.Duration
	failures     int
	unknownError OutcomeUnknownError
}

// wait delays the next call after the failure cause. It returns an
// *OutcomeUnknownError if there were too many failures or ctx has ended.
func (r *retry) wait(ctx context.Context, cause error) error {
	r.failures++
	if r.failures >= maxFailures || clock.Sleep(ctx, r.clock, r.backoff) != nil {
		return r.outcomeUnknown(cause)
	}
	r.backoff *= 2
	return nil
}

func (r *retry) outcomeUnknown(cause error) error {
	e := r.unknownError
	e.cause = cause
	return &e
}
