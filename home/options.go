package home

import (
	"math"
	"math/rand/v2"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/searcher"
)

// forever is the lease end of a Set without leases.
const forever = time.Duration(math.MaxInt64)

// SetOption changes how NewSet builds a Set.
type SetOption func(*Set)

// WithClock replaces the clock of the machine.
func WithClock(c clock.Clock) SetOption { return func(s *Set) { s.clock = c } }

// WithTargets replaces the HTTP adapter: dial returns the Target of a searcher,
// without connections until it is resized.
func WithTargets(dial func(*catalogue.Searcher) *searcher.Target) SetOption {
	return func(s *Set) { s.dial = dial }
}

// WithLeaseEnd sets the source of the daemon's lease end, a reading of
// clock.Clock.Boot. It is asked immediately before each send.
func WithLeaseEnd(end func() time.Duration) SetOption { return func(s *Set) { s.leaseEnd = end } }

// WithCrash sets the function that is told the fingerprint of a request that
// crashed a searcher. It runs in its own goroutine.
func WithCrash(crash func(fingerprint uint64)) SetOption { return func(s *Set) { s.crash = crash } }

// WithRandom sets the source of the offsets between health requests.
func WithRandom(r *rand.Rand) SetOption { return func(s *Set) { s.random = r } }
