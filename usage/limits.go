package usage

import "time"

const (
	// settleTime is the time after the end of a window before its report. It covers
	// the delay of updates and small differences of clocks.
	settleTime = 700 * time.Millisecond
	// takeoverTime is left, beside the lease, for a successor that takes over when
	// a report is due: 1.25 s to detect the loss and several calls of the store.
	takeoverTime = 2500 * time.Millisecond
)

// Limits holds the times of reports.
type Limits struct {
	window   time.Duration
	lease    time.Duration
	lateness time.Duration
}

// NewLimits returns the limits for windows of the given length whose reports are
// due within lateness after their end, by holders of the given lease.
func NewLimits(window, lease, lateness time.Duration) Limits {
	return Limits{window: window, lease: lease, lateness: lateness}
}

// WindowAt returns the window of a true time since the Unix epoch.
func (l Limits) WindowAt(t time.Duration) int64 { return int64(t / l.window) }

// EndOf returns the true time at which a window ends.
func (l Limits) EndOf(window int64) time.Duration { return time.Duration(window+1) * l.window }

func (l Limits) settle() time.Duration { return min(settleTime, l.lateness/4) }

// bound is the time after the end of a window at which it is reported even if
// some daemon has not confirmed it. It leaves a successor the time to take over.
func (l Limits) bound() time.Duration {
	return max(l.lateness-l.lease-takeoverTime, l.lateness/4)
}
