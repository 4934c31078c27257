package metastore

import "time"

// Fault is a failure mode of the calls to a Store. The zero value is no fault.
type Fault struct {
	down            bool
	hanging         bool
	delay           time.Duration
	droppingReplies bool
	stalledWatches  bool
	silentWatches   bool
}

// Healthy is the absence of faults.
func Healthy() Fault { return Fault{} }

// Down answers every call with status 503.
func Down() Fault { return Fault{down: true} }

// Hanging leaves every call unanswered until the caller cancels it.
func Hanging() Fault { return Fault{hanging: true} }

// Slow delays every call by d.
func Slow(d time.Duration) Fault { return Fault{delay: d} }

// DroppingReplies executes every call and closes the connection instead of
// replying.
func DroppingReplies() Fault { return Fault{droppingReplies: true} }

// StalledWatches makes watches return no changes.
func StalledWatches() Fault { return Fault{stalledWatches: true} }

// SilentWatches leaves watches unanswered until the caller cancels them.
func SilentWatches() Fault { return Fault{silentWatches: true} }

// Inject replaces the fault that applies to later calls. StalledWatches and
// SilentWatches also apply to pending watches.
func (s *Store) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// beginCall counts a call and returns the fault that applies to it and the era.
func (s *Store) beginCall() (Fault, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.fault, s.era
}
