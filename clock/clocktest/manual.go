package clocktest

import (
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// Manual is a clock.Clock whose time changes only when Advance is called. It is
// safe for concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	boot    time.Duration
	pending map[*timer]struct{}
}

var _ clock.Clock = (*Manual)(nil)

// New returns a Manual clock at a fixed wall time, one hour after boot.
func New() *Manual {
	return &Manual{
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		boot:    time.Hour,
		pending: make(map[*timer]struct{}),
	}
}

// Now returns the wall time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Boot returns the time since boot.
func (m *Manual) Boot() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.boot
}

// AfterFunc runs f in its own goroutine once Advance has moved the clock by d.
func (m *Manual) AfterFunc(d time.Duration, f func()) clock.Timer {
	return m.startTimer(d, &timer{clock: m, f: f})
}

// NewTimer returns a timer that sends the time on its channel once Advance has
// moved the clock by d.
func (m *Manual) NewTimer(d time.Duration) clock.Timer {
	return m.startTimer(d, &timer{clock: m, ch: make(chan time.Time, 1)})
}

// Advance moves the clock by d and fires the due timers in the order of their
// deadlines.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.boot + d
	for {
		t := m.nextTimerLocked(end)
		if t == nil {
			break
		}
		m.advanceLocked(t.deadline)
		delete(m.pending, t)
		t.fireLocked()
	}
	m.advanceLocked(end)
	m.mu.Unlock()
}

// PendingTimers returns the number of pending timers.
func (m *Manual) PendingTimers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending)
}

func (m *Manual) startTimer(d time.Duration, t *timer) clock.Timer {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.armLocked(d)
	return t
}

// nextTimerLocked returns the pending timer with the earliest deadline up to end, or
// nil.
func (m *Manual) nextTimerLocked(end time.Duration) *timer {
	var first *timer
	for t := range m.pending {
		if t.deadline <= end && (first == nil || t.deadline < first.deadline) {
			first = t
		}
	}
	return first
}

// advanceLocked moves the clock forward to the given time since boot.
func (m *Manual) advanceLocked(boot time.Duration) {
	if boot <= m.boot {
		return
	}
	m.now = m.now.Add(boot - m.boot)
	m.boot = boot
}
