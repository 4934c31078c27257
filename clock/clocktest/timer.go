package clocktest

import "time"

type timer struct {
	clock    *Manual
	deadline time.Duration
	ch       chan time.Time
	f        func()
}

func (t *timer) C() <-chan time.Time { return t.ch }

func (t *timer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.pending[t]
	delete(t.clock.pending, t)
	return pending
}

func (t *timer) Reset(d time.Duration) bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.pending[t]
	t.armLocked(d)
	return pending
}

// armLocked schedules the timer to fire after d, or fires it at once if d <= 0.
func (t *timer) armLocked(d time.Duration) {
	t.deadline = t.clock.boot + d
	if d <= 0 {
		delete(t.clock.pending, t)
		t.fireLocked()
		return
	}
	t.clock.pending[t] = struct{}{}
}

func (t *timer) fireLocked() {
	if t.f != nil {
		go t.f()
		return
	}
	select {
	case t.ch <- t.clock.now:
	default:
	}
}
