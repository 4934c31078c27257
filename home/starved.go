package home

import (
	"time"

	"medlaryard.example/medlaryard/meter"
)

// starve notes that a task waits for a token of the budget to be sent again. It
// is answered with the reason of its last attempt when no token comes within
// the service's patience, because the entry can still answer in time then.
func (g *group) starve(t *task) {
	if t.starved != nil {
		return
	}
	t.starved = g.set.clock.AfterFunc(g.tokenWait(t), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if t.done || t.starved == nil || t.in == nil || len(t.running) > 0 {
			return
		}
		meter.Count("home.retry.starved", 1)
		g.refuse(t, t.cause)
	})
}

// sated ends the wait for a token.
func (t *task) sated() {
	if t.starved != nil {
		t.starved.Stop()
		t.starved = nil
	}
}

// tokenWait is the time that a task may wait for a token. Baseline has no
// patience, and waits for the longest time that any patience may take.
func (g *group) tokenWait(t *task) time.Duration {
	if p := g.patience(t); p > 0 {
		return p
	}
	return max(0, t.deadline-g.set.clock.Boot()) / maxPatiencePart
}
