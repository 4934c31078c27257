package home

import (
	"math"
	"math/rand/v2"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/searcher"
)

// noLeaseEnd is the lease end of a Set that was built without WithLeaseEnd.
const noLeaseEnd = time.Duration(math.MaxInt64)

// SetOption configures a Set in NewSet.
type SetOption func(*Set)

// WithClock sets the clock; the default is the system clock.
func WithClock(c clock.Clock) SetOption { return func(s *Set) { s.clock = c } }

// WithTargetFactory replaces the HTTP adapter. newTarget returns the Target of a
// searcher; it opens no connections before its first SetMaxConnections.
func WithTargetFactory(newTarget func(*catalogue.Searcher) *searcher.Target) SetOption {
	return func(s *Set) { s.newTarget = newTarget }
}

// WithLeaseEnd sets the function that returns the end of the daemon's lease, as
// a reading of clock.Clock.Boot. It is called immediately before each send.
func WithLeaseEnd(end func() time.Duration) SetOption { return func(s *Set) { s.leaseEnd = end } }

// WithCrashHandler sets a callback that receives the fingerprint of each request that was
// in flight when a searcher ended, and that of the searcher. It runs in its own goroutine.
func WithCrashHandler(onCrash func(request, searcher uint64)) SetOption {
	return func(s *Set) { s.onCrash = onCrash }
}

// WithRandom sets the random source for the jitter of health polling.
func WithRandom(r *rand.Rand) SetOption { return func(s *Set) { s.random = r } }
