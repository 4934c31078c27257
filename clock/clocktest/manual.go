package clocktest

import (
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// Manual is a clock.Clock that stands still until Advance is called.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	boot   time.Duration
	timers map[*timer]struct{}
}

var _ clock.Clock = (*Manual)(nil)

// New returns a Manual clock at a fixed wall time, one hour after boot.
func New() *Manual {
	return &Manual{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		boot:   time.Hour,
		timers: make(map[*timer]struct{}),
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

// AfterFunc runs f in its own goroutine once Advance has passed d.
func (m *Manual) AfterFunc(d time.Duration, f func()) clock.Timer {
	return m.start(d, &timer{m: m, f: f})
}

// NewTimer sends once on the timer's channel once Advance has passed d.
func (m *Manual) NewTimer(d time.Duration) clock.Timer {
	return m.start(d, &timer{m: m, c: make(chan time.Time, 1)})
}

// Advance moves the clock by d and fires due timers in order of their times.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.boot + d
	for {
		t := m.nextLocked(end)
		if t == nil {
			break
		}
		m.moveLocked(t.at)
		delete(m.timers, t)
		t.fireLocked()
	}
	m.moveLocked(end)
	m.mu.Unlock()
}

// Waiters returns the number of pending timers.
func (m *Manual) Waiters() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}

func (m *Manual) start(d time.Duration, t *timer) clock.Timer {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.armLocked(d)
	return t
}

func (m *Manual) nextLocked(end time.Duration) *timer {
	var first *timer
	for t := range m.timers {
		if t.at <= end && (first == nil || t.at < first.at) {
			first = t
		}
	}
	return first
}

func (m *Manual) moveLocked(at time.Duration) {
	if at <= m.boot {
		return
	}
	m.now = m.now.Add(at - m.boot)
	m.boot = at
}
