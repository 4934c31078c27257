package home

import (
	"time"

	"medlaryard.example/medlaryard/admission"
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/searcher"
)

// handleEnd processes the end of an attempt: a reply when f is nil, otherwise a
// failure.
func (g *group) handleEnd(a *attempt, r searcher.Reply, f *searcher.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.set.clock.Boot()
	a.ended = true
	a.member.inflight--
	g.inflight--
	a.task.removeAttempt(a)
	g.returnTokens(a, f)
	if f == nil {
		g.handleReply(a, r, now)
	} else {
		g.handleFailure(a, f, now)
	}
	g.dispatch(now)
	g.cleanUpIdle()
}

// returnTokens refunds the token of an attempt that was never written. The
// token for the resend that replaces a silent attempt stays with the task; it is
// refunded if the task has ended.
func (g *group) returnTokens(a *attempt, f *searcher.Failure) {
	if a.usesToken && f != nil && isUnwritten(f) {
		g.service.budget.refund()
	}
	switch {
	case a.replaced && a.task.done:
		g.service.budget.refund()
	case a.replaced:
		a.task.hasToken = true
	}
}

// isUnwritten reports whether the home itself ended the attempt before its
// first byte was written.
func isUnwritten(f *searcher.Failure) bool {
	return f.Fault() == searcher.FaultNone && f.Ran() == refusal.NotRun
}

// handleReply records a valid reply and ends the task with it.
func (g *group) handleReply(a *attempt, r searcher.Reply, now time.Duration) {
	m, took := a.member, now-a.sent
	if r.Version() != "" {
		a.version = r.Version()
	}
	if r.Boot() != "" {
		m.setBoot(r.Boot())
	}
	m.failures, m.lastReply = 0, now
	m.errors.observe(now, 0)
	g.service.evidence.recordReply(a.version, a.task.req.Route(), took)
	g.observeReply(a, took, now)
	if !a.task.done {
		g.answer(a, r)
	}
}

// handleFailure records an attempt without a valid reply, and retries or
// refuses the task.
func (g *group) handleFailure(a *attempt, f *searcher.Failure, now time.Duration) {
	t, fault := a.task, f.Fault()
	if fault != searcher.FaultNone {
		meter.Count("home.fault."+fault.String(), 1)
	}
	if f.Ran() != refusal.NotRun {
		t.ran = f.Ran()
	}
	g.recordFailure(a, f, now)
	if t.done || len(t.running) > 0 && !a.replaced {
		return
	}
	t.hedgePending, t.silentAttempt = false, nil
	if t.crashed {
		g.refuse(t, f.Error)
		return
	}
	if a.replaced {
		t.retryReason = refusal.SearcherFailed
		g.requeue(t, f.Error)
		return
	}
	if isUnwritten(f) {
		g.requeueUnsent(t, f)
		return
	}
	if !g.mayRetry(t, f) {
		g.refuse(t, f.Error)
		return
	}
	t.retryReason = f.Kind()
	g.requeue(t, f.Error)
}

// requeueUnsent queues a task again whose attempt ended before its first byte
// was written. That attempt does not count as a send.
func (g *group) requeueUnsent(t *task, f *searcher.Failure) {
	t.sends--
	switch f.Kind() {
	case refusal.NotHome, refusal.Deadline, refusal.Cancelled:
		g.refuse(t, f.Error)
	default:
		g.requeue(t, f.Error)
	}
}

// requeue queues a task to be resent. It refuses the task with e when the
// resend list is full.
func (g *group) requeue(t *task, e *refusal.Error) {
	t.lastError = e
	if t.list == nil && !g.queue.pushResend(t, g.queueBound()) {
		g.refuse(t, e)
	}
}

// maxSends bounds the sends of one task, including a hedge.
const maxSends = 3

// mayRetry reports whether the task may be sent again after the failure.
func (g *group) mayRetry(t *task, f *searcher.Failure) bool {
	switch {
	case t.req.Suspect() || t.crashed || t.sends >= maxSends || !g.maySend():
		return false
	case g.policy == catalogue.Baseline && t.sends > 1:
		return false
	case f.Ran() == refusal.NotRun && t.ran == refusal.NotRun:
		return true
	}
	return g.policy != catalogue.Baseline && t.mayResend()
}

// recordFailure updates the state of the searcher and the evidence on its
// version after a failed attempt.
func (g *group) recordFailure(a *attempt, f *searcher.Failure, now time.Duration) {
	m, t := a.member, a.task
	switch f.Fault() {
	case searcher.FaultNone, searcher.FaultSilentConnection, searcher.FaultShed, searcher.FaultCold, searcher.FaultDraining, searcher.FaultSnapshot:
	default:
		if f.Kind() != refusal.Cancelled {
			g.service.evidence.recordError(a.version, t.req.Route())
		}
	}
	switch f.Fault() {
	case searcher.FaultReply, searcher.FaultStatus, searcher.FaultBroken:
		if f.Kind() != refusal.Cancelled {
			m.errors.observe(now, 1)
		}
	case searcher.FaultShed, searcher.FaultCold:
		m.warmup.recordRefusal(now)
		t.warmOnly = true
		g.dispatchAfter(m.warmup.backoff)
	case searcher.FaultDraining:
		m.draining, m.drainUntil = true, now+drainHoldTime
	case searcher.FaultSnapshot:
		m.removeLabel(t.req.Snapshot())
	case searcher.FaultSilent:
		g.observeAbandoned(a, now-a.sent, now)
	case searcher.FaultConnect:
		g.markDown(m)
	case searcher.FaultCrashed:
		t.crashedAlone = m.inflight == 0 && (m.endedAt == 0 || now-m.endedAt > admission.OutageWindow)
		g.markDown(m)
		t.crashed = true
		go g.set.onCrash(t.req.Fingerprint(), m.fingerprint())
	}
}

// markDown stops sending to an unreachable searcher until it answers a health
// request. Its process may have restarted, so its warm-up starts again.
func (g *group) markDown(m *member) {
	m.down = true
	m.endedAt = g.set.clock.Boot()
	m.resetAfterRestart()
}

// dispatchAfter dispatches again after d, when the backoff of a searcher ends.
func (g *group) dispatchAfter(d time.Duration) {
	g.set.clock.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatch(g.set.clock.Boot())
	})
}
