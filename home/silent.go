package home

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/meter"
)

// patienceDivisor bounds the patience to the remaining time divided by this
// number, so that a resent request still has time.
const patienceDivisor = 3

// patience returns the time without a byte of reply after which the connection
// of an attempt is probed; 0 turns the probe off.
func (g *group) patience(t *task) time.Duration {
	if g.policy == catalogue.Baseline {
		return 0
	}
	left := (t.deadline - g.set.clock.Boot()) / patienceDivisor
	delay, _ := g.service.latency.quantiles()
	if delay == 0 {
		return left
	}
	return min(left, time.Duration(float64(delay)*max(1, g.service.currentSpec().PatienceFactor())))
}

// handleSilent records that the connection of an attempt is silent while a new
// connection to its searcher works. The searcher keeps its state, since only
// the connection failed. The request is resent over a newer connection if it
// may be.
func (g *group) handleSilent(a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := a.task
	meter.Count("home.connection.silent", 1)
	a.silent = true
	if t.done || a.ended || !t.mayResend() || t.sends >= maxSends || t.awaitsReply() {
		return // The attempt goes on: without a resend its reply may still arrive.
	}
	t.silentAttempt, t.hedgePending = a, false
	if t.list == nil && !g.queue.pushResend(t, g.queueBound()) {
		t.silentAttempt = nil
		return
	}
	g.dispatch(g.set.clock.Boot())
}

// replaceSilent cancels the silent attempt once the budget has a token for the
// resend. The slot becomes free when the attempt ends, and the task is queued
// again then.
func (g *group) replaceSilent(t *task) {
	if !g.service.budget.spend(0) {
		return
	}
	g.queue.remove(t)
	t.silentAttempt.replaced = true
	t.silentAttempt.cancel()
	t.silentAttempt = nil
}
