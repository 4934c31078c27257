package metastore

import "time"

// Fault is how calls fail.
type Fault struct {
	down            bool
	hang            bool
	delay           time.Duration
	droppingReplies bool
	stalledWatches  bool
}

// Healthy returns the absence of faults.
func Healthy() Fault { return Fault{} }

// Down answers all calls 503.
func Down() Fault { return Fault{down: true} }

// Hanging answers no call until the caller gives up.
func Hanging() Fault { return Fault{hang: true} }

// Slow delays all calls.
func Slow(d time.Duration) Fault { return Fault{delay: d} }

// DroppingReplies performs calls and cuts the connection instead of answering.
func DroppingReplies() Fault { return Fault{droppingReplies: true} }

// StalledWatches keeps watches waiting although there are changes.
func StalledWatches() Fault { return Fault{stalledWatches: true} }

// Inject sets the fault in force.
func (s *Store) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Store) current() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.fault
}
