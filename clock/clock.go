package clock

import "time"

// Clock is a source of time.
type Clock interface {
	// Now returns the wall time.
	Now() time.Time
	// Boot returns the time since the VM booted. It is monotonic and includes
	// the time for which the VM was suspended, so leases and deadlines use it.
	Boot() time.Duration
	// AfterFunc runs f in its own goroutine after d.
	AfterFunc(d time.Duration, f func()) Timer
	// NewTimer returns a timer that sends the time on its channel after d.
	NewTimer(d time.Duration) Timer
}

// Timer is a pending event of a Clock. See [time.Timer].
type Timer interface {
	// C returns the channel of a timer created by NewTimer. It returns nil for a
	// timer created by AfterFunc.
	C() <-chan time.Time
	// Stop cancels the timer. It reports whether it prevented the event.
	Stop() bool
	// Reset changes the timer to fire after d. It reports whether the timer was
	// pending.
	Reset(d time.Duration) bool
}
