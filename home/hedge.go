package home

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// unknownHedgeDivisor sets the hedge delay while the latency of the service is
// unknown: the remaining time divided by this number.
const unknownHedgeDivisor = 3

// armHedge starts the hedge timer of a task. The delay is the service's latency
// at the hedge quantile.
func (g *group) armHedge(t *task, now time.Duration) {
	if g.policy == catalogue.Baseline || !t.mayResend() {
		return
	}
	delay, _ := g.service.latency.quantiles()
	if delay == 0 {
		delay = (t.deadline - now) / unknownHedgeDivisor
	}
	t.hedgeTimer = g.set.clock.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if t.done || t.sends != 1 || len(t.running) == 0 || t.list != nil || !g.queue.pushResend(t, g.queueBound()) {
			return
		}
		t.hedgePending = true
		g.dispatch(g.set.clock.Boot())
	})
}

// maxHedgeLatencyRatio is the highest ratio of a searcher's expected latency to
// the group's median at which a hedge to the searcher is likely to win.
const maxHedgeLatencyRatio = 2

// veryLateFactor multiplies the hedge delay. Once a task's attempt has run for
// that time, its hedge may go before waiting tasks and use the reserve of the
// budget.
const veryLateFactor = 2

// dispatchHedge sends the hedge to another warm searcher with free capacity.
// Cold searchers get no hedges, because a hedge is avoidable load.
func (g *group) dispatchHedge(t *task, now time.Duration) {
	reserve := 0.0
	if delay, _ := g.service.latency.quantiles(); now-t.running[0].sent < veryLateFactor*delay {
		reserve = hedgeReserve
		if g.queue.unsent() > 0 {
			return
		}
	}
	m := g.best(t, now, func(m *member) bool {
		return m.warmup.warm && !t.hasTried(m) && g.freeCapacity(m, now) > m.planned &&
			m.expectedLatency(now, g.medianLatency) <= maxHedgeLatencyRatio*g.medianLatency
	})
	if m == nil || !g.service.budget.spend(reserve) {
		return
	}
	g.queue.remove(t)
	t.hedgePending = false
	g.send(t, m, now, true)
}
