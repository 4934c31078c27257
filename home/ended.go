package home

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/searcher"
)

// ended takes in the end of an attempt.
func (g *group) ended(a *attempt, r searcher.Reply, f *searcher.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.set.clock.Boot()
	a.over = true
	a.m.inflight--
	g.inflight--
	a.t.drop(a)
	g.returnTokens(a, f)
	if f == nil {
		g.answered(a, r, now)
	} else {
		g.failed(a, f, now)
	}
	g.dispatch(now)
	g.settle()
}

// returnTokens gives back the token of an attempt that was never written, and
// keeps that of a repetition for the task until it is sent or has ended.
func (g *group) returnTokens(a *attempt, f *searcher.Failure) {
	if a.paid && f != nil && unwritten(f) {
		g.service.budget.refund()
	}
	switch {
	case a.replaced && a.t.done:
		g.service.budget.refund()
	case a.replaced:
		a.t.prepaid = true
	}
}

// unwritten reports whether the attempt ended before its first byte was written
// for a reason that lies with the home.
func unwritten(f *searcher.Failure) bool {
	return f.Fault() == searcher.FaultNone && f.Ran() == refusal.NotRun
}

// answered takes in a valid reply.
func (g *group) answered(a *attempt, r searcher.Reply, now time.Duration) {
	m, took := a.m, now-a.sent
	if r.Version() != "" {
		a.version = r.Version()
	}
	m.failures, m.lastReply = 0, now
	m.errors.observe(now, 0)
	g.service.ledger.answered(a.version, a.t.req.Route(), took)
	g.observe(a, took, now)
	if !a.t.done {
		g.answer(a, r)
	}
}

// failed takes in an attempt without a valid reply and decides on a retry.
func (g *group) failed(a *attempt, f *searcher.Failure, now time.Duration) {
	t, fault := a.t, f.Fault()
	if fault != searcher.FaultNone {
		meter.Count("home.fault."+fault.String(), 1)
	}
	if f.Ran() != refusal.NotRun {
		t.ran = f.Ran()
	}
	g.judge(a, f, now)
	if t.done || len(t.running) > 0 && !a.replaced {
		return
	}
	t.hedging, t.silent = false, nil
	if t.crashed {
		g.refuse(t, f.Error)
		return
	}
	if a.replaced {
		t.retry = refusal.SearcherFailed
		g.requeue(t, f.Error)
		return
	}
	if unwritten(f) {
		g.unsent(t, f)
		return
	}
	if !g.mayRetry(t, f) {
		g.refuse(t, f.Error)
		return
	}
	t.retry = f.Kind()
	g.requeue(t, f.Error)
}

// unsent lets a task wait again whose attempt ended before the first byte was
// written, because it does not count as sent.
func (g *group) unsent(t *task, f *searcher.Failure) {
	t.sends--
	switch f.Kind() {
	case refusal.NotHome, refusal.Deadline, refusal.Cancelled:
		g.refuse(t, f.Error)
	default:
		g.requeue(t, f.Error)
	}
}

// requeue lets a task wait to be sent again, or refuses it with e when too many
// such tasks wait.
func (g *group) requeue(t *task, e *refusal.Error) {
	t.cause = e
	if t.in == nil && !g.queue.repeat(t, g.queueBound()) {
		g.refuse(t, e)
	}
}

// maxSends bounds the sends of one task, hedge included.
const maxSends = 3

// mayRetry reports whether the task may be sent again after the failure.
func (g *group) mayRetry(t *task, f *searcher.Failure) bool {
	switch {
	case t.req.Suspect() || t.crashed || t.sends >= maxSends || !g.open():
		return false
	case g.policy == catalogue.Baseline && t.sends > 1:
		return false
	case f.Ran() == refusal.NotRun && t.ran == refusal.NotRun:
		return true
	}
	return g.policy != catalogue.Baseline && t.repeatable()
}

// judge draws conclusions about the searcher.
func (g *group) judge(a *attempt, f *searcher.Failure, now time.Duration) {
	m, t := a.m, a.t
	switch f.Fault() {
	case searcher.FaultNone, searcher.FaultConnection, searcher.FaultShed, searcher.FaultCold, searcher.FaultDraining, searcher.FaultSnapshot:
	default:
		if f.Kind() != refusal.Cancelled {
			g.service.ledger.failed(a.version, t.req.Route())
		}
	}
	switch f.Fault() {
	case searcher.FaultReply, searcher.FaultStatus, searcher.FaultBroken:
		if f.Kind() != refusal.Cancelled {
			m.errors.observe(now, 1)
		}
	case searcher.FaultShed, searcher.FaultCold:
		m.warmth.refuse(now)
		t.warmOnly = true
		g.later(m.warmth.rest)
	case searcher.FaultDraining:
		m.draining, m.drainUntil = true, now+drainHold
	case searcher.FaultSnapshot:
		m.forget(t.req.Snapshot())
	case searcher.FaultSilent:
		g.observeAtLeast(a, now-a.sent, now)
	case searcher.FaultConnect:
		g.lose(m)
	case searcher.FaultCrashed:
		g.lose(m)
		t.crashed = true
		go g.set.crash(t.req.Fingerprint())
	}
}

// lose stops sending to a searcher that cannot be reached, until it answers a
// health request. It then counts as new.
func (g *group) lose(m *member) {
	m.down = true
	m.renew()
}

// later dispatches again after d, when a rest is over.
func (g *group) later(d time.Duration) {
	g.set.clock.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatch(g.set.clock.Boot())
	})
}
