package home

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/meter"
)

// maxPatiencePart is the part of the remaining time that a silent connection
// may use up, so that the repeated request still has time.
const maxPatiencePart = 3

// patience is the time without a byte of reply after which the connection of
// an attempt is tested.
func (g *group) patience(t *task) time.Duration {
	if g.policy == catalogue.Baseline {
		return 0
	}
	left := (t.deadline - g.set.clock.Boot()) / maxPatiencePart
	delay, _ := g.service.sketch.read()
	if delay == 0 {
		return left
	}
	return min(left, time.Duration(float64(delay)*max(1, g.service.description().PatienceFactor())))
}

// silent takes in that the connection of an attempt is silent while a new
// connection to its searcher works. The searcher keeps its health. The request
// is sent again, over connections made since, if it may be.
func (g *group) silent(a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := a.t
	meter.Count("home.connection.silent", 1)
	a.silent = true
	if t.done || a.over || !t.repeatable() || t.sends >= maxSends || t.awaitsReply() {
		return // Without a repetition the reply may still come.
	}
	t.silent, t.hedging = a, false
	if t.in == nil && !g.queue.repeat(t, g.queueBound()) {
		t.silent = nil
		return
	}
	g.dispatch(g.set.clock.Boot())
}

// considerSilent gives the silent attempt up once the budget permits another.
// The slot is free when the attempt has ended, and the task waits again then.
func (g *group) considerSilent(t *task) {
	if !g.service.budget.take(0) {
		return
	}
	g.queue.remove(t)
	t.silent.replaced = true
	t.silent.cancel()
	t.silent = nil
}
