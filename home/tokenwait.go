package home

import (
	"time"

	"medlaryard.example/medlaryard/meter"
)

// awaitToken limits the time that a task waits for a token of the extra budget
// before it is resent. If no token is earned within the service's patience, the
// task is refused with the failure of its last attempt, early enough for the
// entry to reply in time.
func (g *group) awaitToken(t *task) {
	if t.tokenTimer != nil {
		return
	}
	t.tokenTimer = g.set.clock.AfterFunc(g.tokenWait(t), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if t.done || t.tokenTimer == nil || t.list == nil || len(t.running) > 0 {
			return
		}
		meter.Count("home.retry.starved", 1)
		g.refuse(t, t.lastError)
	})
}

// stopTokenWait stops the timer of awaitToken.
func (t *task) stopTokenWait() {
	if t.tokenTimer != nil {
		t.tokenTimer.Stop()
		t.tokenTimer = nil
	}
}

// tokenWait returns how long a task may wait for a token. The baseline policy
// has no patience; its tasks wait for the longest patience that other policies
// allow.
func (g *group) tokenWait(t *task) time.Duration {
	if p := g.patience(t); p > 0 {
		return p
	}
	return max(0, t.deadline-g.set.clock.Boot()) / patienceDivisor
}
