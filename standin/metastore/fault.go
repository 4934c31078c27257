package metastore

import "time"

// Fault is how calls fail.
type Fault struct {
	down  bool
	hang  bool
	delay time.Duration
	lose  bool
	deaf  bool
}

// Sound returns the absence of faults.
func Sound() Fault { return Fault{} }

// Down answers all calls 503.
func Down() Fault { return Fault{down: true} }

// Hanging answers no call until the caller gives up.
func Hanging() Fault { return Fault{hang: true} }

// Slow delays all calls.
func Slow(d time.Duration) Fault { return Fault{delay: d} }

// Losing performs calls and cuts the connection instead of answering.
func Losing() Fault { return Fault{lose: true} }

// Deaf keeps watches waiting although there are changes.
func Deaf() Fault { return Fault{deaf: true} }

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
