package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System is the Clock that reads the clocks of the machine.
type System struct{}

// Now returns the wall time.
func (System) Now() time.Time { return time.Now() }

// Boot returns the reading of CLOCK_BOOTTIME, the monotonic Linux clock that
// includes the time for which the machine was suspended.
func (System) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Leases are unsafe without it.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// AfterFunc runs f in its own goroutine after d.
func (System) AfterFunc(d time.Duration, f func()) Timer {
	return systemTimer{time.AfterFunc(d, f)}
}

// NewTimer returns a timer that sends the time on its channel after d.
func (System) NewTimer(d time.Duration) Timer { return systemTimer{time.NewTimer(d)} }

type systemTimer struct{ *time.Timer }

func (t systemTimer) C() <-chan time.Time { return t.Timer.C }
