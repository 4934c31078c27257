package query

import (
	"context"
	"errors"
	"time"

	"medlaryard.example/medlaryard/route"
)

// ErrShutdown is the cause with which the context of a request is cancelled to
// make the engine answer it before the daemon ends.
var ErrShutdown = errors.New("daemon is shutting down")

// ShutdownRetryAfter is the Retry-After of a daemon that is shutting down. Other
// daemons serve meanwhile.
const ShutdownRetryAfter = 20 * time.Millisecond

// Shutdown describes a daemon that is shutting down, as far as it decides which
// requests are accepted.
type Shutdown struct {
	remaining   time.Duration
	othersServe bool
}

// NewShutdown returns a shutdown in which requests are answered for the
// remaining time. othersServe is set if another daemon can serve callers.
func NewShutdown(remaining time.Duration, othersServe bool) Shutdown {
	return Shutdown{remaining: remaining, othersServe: othersServe}
}

// Accepts reports whether a request is accepted whose caller waits for
// callerTimeout. The whole timeout must fit into the remaining time, since a
// request that is cut off may have run. While no other daemon serves, a refusal
// would send the caller nowhere; then it is enough for an idempotent request
// that its objective fits.
func (s Shutdown) Accepts(r *route.Route, callerTimeout time.Duration) bool {
	if requestTimeout(r, callerTimeout) <= s.remaining {
		return true
	}
	return !s.othersServe && r.Idempotent() && r.Objective() <= s.remaining
}

// endedByShutdown reports whether ctx ended because the daemon ends, and not
// because the caller has left.
func endedByShutdown(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrShutdown)
}
