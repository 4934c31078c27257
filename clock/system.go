package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System is the Clock of the machine.
type System struct{}

// Now returns the wall time.
func (System) Now() time.Time { return time.Now() }

// Boot reads CLOCK_BOOTTIME, the Linux clock that counts suspension.
func (System) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it leases are unsafe.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// AfterFunc runs f in its own goroutine after d.
func (System) AfterFunc(d time.Duration, f func()) Timer {
	return systemTimer{time.AfterFunc(d, f)}
}

// NewTimer sends once on the timer's channel after d.
func (System) NewTimer(d time.Duration) Timer { return systemTimer{time.NewTimer(d)} }

type systemTimer struct{ *time.Timer }

func (t systemTimer) C() <-chan time.Time { return t.Timer.C }
