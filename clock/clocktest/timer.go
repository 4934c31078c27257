package clocktest

import "time"

type timer struct {
	m  *Manual
	at time.Duration
	c  chan time.Time
	f  func()
}

func (t *timer) C() <-chan time.Time { return t.c }

func (t *timer) Stop() bool {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	_, pending := t.m.timers[t]
	delete(t.m.timers, t)
	return pending
}

func (t *timer) Reset(d time.Duration) bool {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	_, pending := t.m.timers[t]
	t.armLocked(d)
	return pending
}

func (t *timer) armLocked(d time.Duration) {
	t.at = t.m.boot + d
	if d <= 0 {
		delete(t.m.timers, t)
		t.fireLocked()
		return
	}
	t.m.timers[t] = struct{}{}
}

func (t *timer) fireLocked() {
	if t.f != nil {
		go t.f()
		return
	}
	select {
	case t.c <- t.m.now:
	default:
	}
}
