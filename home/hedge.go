package home

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// unknownHedgePart is the part of the remaining time after which a request is
// hedged while the service's latency is not known yet.
const unknownHedgePart = 3

// armHedge lets a task wait for its hedge from the time at which its first
// attempt is later than most.
func (g *group) armHedge(t *task, now time.Duration) {
	if g.policy == catalogue.Baseline || !t.repeatable() {
		return
	}
	delay, _ := g.service.sketch.read()
	if delay == 0 {
		delay = (t.deadline - now) / unknownHedgePart
	}
	t.hedge = g.set.clock.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if t.done || t.sends != 1 || len(t.running) == 0 || t.in != nil || !g.queue.repeat(t, g.queueBound()) {
			return
		}
		t.hedging = true
		g.dispatch(g.set.clock.Boot())
	})
}

// hedgeSlack is the highest ratio of a searcher's expected latency to the group's median
// at which a hedge to it is likely to win.
const hedgeSlack = 2

// veryLate times the hedge delay is the age at which a hedge may go before
// waiting tasks and may use the reserve of the budget.
const veryLate = 2

// considerHedge sends the hedge to another warm searcher that has room. A cold
// searcher gets none, since a hedge is load that can be avoided.
func (g *group) considerHedge(t *task, now time.Duration) {
	reserve := 0.0
	if delay, _ := g.service.sketch.read(); now-t.running[0].sent < veryLate*delay {
		reserve = lateTokens
		if g.queue.fresh() > 0 {
			return
		}
	}
	m := g.best(t, now, func(m *member) bool {
		return m.warmth.warm && !t.hasTried(m) && g.room(m, now) > m.virtual &&
			m.expected(now, g.median) <= hedgeSlack*g.median
	})
	if m == nil || !g.service.budget.take(reserve) {
		return
	}
	g.queue.remove(t)
	t.hedging = false
	g.send(t, m, now, true)
}
