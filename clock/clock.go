package clock

import "time"

// Clock is a source of time.
type Clock interface {
	// Now returns the wall time.
	Now() time.Time
	// Boot returns the time since the VM started. It never goes back and it
	// counts the time for which the VM was paused, so leases and deadlines
	// use it.
	Boot() time.Duration
	// AfterFunc runs f in its own goroutine after d.
	AfterFunc(d time.Duration, f func()) Timer
	// NewTimer sends once on the timer's channel after d.
	NewTimer(d time.Duration) Timer
}

// Timer is one pending event of a Clock.
type Timer interface {
	// C is the channel of a timer made by NewTimer, nil otherwise.
	C() <-chan time.Time
	// Stop reports whether it prevented the event.
	Stop() bool
	// Reset changes the timer to fire after d.
	Reset(d time.Duration) bool
}
