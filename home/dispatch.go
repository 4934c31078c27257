package home

import (
	"strconv"
	"time"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/searcher"
)

// Invariants that are checked at every send.
const (
	sendLease      invariant.Name = "home.send_within_lease"
	sendUsable     invariant.Name = "home.send_to_usable_searcher"
	sendLimit      invariant.Name = "home.send_within_limit"
	sendColdShare  invariant.Name = "home.cold_only_at_full_share"
	sendSnapshot   invariant.Name = "home.send_to_holder_of_snapshot"
	sendOnce       invariant.Name = "home.non_idempotent_sent_once"
	sendSuspect    invariant.Name = "home.suspect_sent_once"
	sendAfterReply invariant.Name = "home.no_send_after_result"
)

// maxScanned bounds the waiting tasks that one dispatch round examines. A round
// goes past the first task only while a slower searcher has room, so the bound
// need not cover a whole queue.
const maxScanned = 64

// dispatch sends as many waiting tasks as the limits allow. It runs after every
// event that can free capacity.
func (g *group) dispatch(now time.Duration) {
	if g.queue.len() == 0 {
		return
	}
	if !g.maySend() {
		g.refuseQueued()
		return
	}
	for _, m := range g.members {
		m.planned = 0
	}
	scanned := 0
	for _, l := range g.queue.nextRound() {
		for t := l.first; t != nil && scanned < maxScanned; scanned++ {
			next := t.next
			g.dispatchTask(t, now)
			t = next
		}
	}
}

// dispatchTask sends the task, leaves it queued or refuses it.
func (g *group) dispatchTask(t *task, now time.Duration) {
	switch {
	case t.silentAttempt != nil:
		g.replaceSilent(t)
		return
	case t.hedgePending:
		g.dispatchHedge(t, now)
		return
	}
	if e := g.unservable(t); e != nil {
		g.refuse(t, e)
		return
	}
	m := g.pick(t, now)
	if m == nil {
		return
	}
	if m.planned >= g.freeCapacity(m, now) {
		m.planned++
		return
	}
	usesToken := t.needsToken()
	if usesToken && !t.hasToken && !g.service.budget.spend(0) {
		g.awaitToken(t)
		return // Later requests earn the token.
	}
	g.queue.remove(t)
	t.stopTokenWait()
	t.hasToken = false
	g.send(t, m, now, usesToken)
}

// send starts an attempt. All sends go through this function, which checks
// their invariants.
func (g *group) send(t *task, m *member, now time.Duration, usesToken bool) {
	end := g.set.leaseEnd() // Read once: another goroutine may change it.
	if end <= now {
		g.handleLeaseExpired(t, usesToken)
		return
	}
	invariant.Check(sendLease, g.maySend() && now < end, "group %s sends at share %s without a valid lease", g.id, g.share)
	invariant.Check(sendUsable, m.usable(), "searcher %s of group %s is not usable", m.spec.Name(), g.id)
	invariant.Check(sendLimit, m.inflight < m.limit(g.share) && m.inflight < m.slots(),
		"searcher %s has %d requests in flight, limit is %d", m.spec.Name(), m.inflight, m.limit(g.share))
	invariant.Check(sendColdShare, g.share == lease.Full || !m.warmup.knownCold,
		"searcher %s is cold at share %s", m.spec.Name(), g.share)
	invariant.Check(sendSnapshot, m.holds(t.req.Snapshot()), "searcher %s does not hold snapshot %d", m.spec.Name(), t.req.Snapshot())
	invariant.Check(sendOnce, t.req.Idempotent() || t.notRun(), "non-idempotent request %s is sent again, outcome so far %s", t.req.ID(), t.ran)
	invariant.Check(sendSuspect, (!t.req.Suspect() || t.sends == 0) && !t.crashed, "suspect or crashed request %s is sent again", t.req.ID())
	invariant.Check(sendAfterReply, !t.done, "request %s is sent after its result", t.req.ID())

	for _, c := range g.credits {
		c.recordSend(m)
	}
	a := &attempt{task: t, member: m, sent: now, version: m.spec.Version(), number: t.sends + 1, firstSend: t.sends == 0, usesToken: usesToken, hedge: len(t.running) > 0}
	t.sends++
	t.running = append(t.running, a)
	if !t.hasTried(m) {
		t.tried = append(t.tried, m)
	}
	m.inflight++
	m.lastSend = now
	g.inflight++
	g.pickOffset++
	if a.firstSend {
		g.armHedge(t, now)
	}
	a.cancel = m.target.Send(g.newCall(a, end), func(r searcher.Reply, f *searcher.Failure) { g.handleEnd(a, r, f) })
}

// handleLeaseExpired refuses a task whose send came after the end of the lease.
// A hedge is only dropped, because the task's first attempt was sent in time.
func (g *group) handleLeaseExpired(t *task, usesToken bool) {
	if usesToken {
		g.service.budget.refund()
	}
	if len(t.running) == 0 {
		g.refuse(t, refusal.New(refusal.NotHome, "lease of the home of group %s has expired", g.id))
	}
}

// sendID returns the identifier of the n-th send of a request. Each send has its
// own, so that a late second copy of the reply to one is not taken for the reply to
// another.
func sendID(id string, n int) string {
	if n == 1 {
		return id
	}
	return id + "~" + strconv.Itoa(n)
}

// newCall returns the message to the searcher. Its deadline is at most the end
// of the lease.
func (g *group) newCall(a *attempt, end time.Duration) searcher.Call {
	req := a.task.req
	return searcher.NewCall(searcher.CallSpec{
		ID:            sendID(req.ID(), a.number),
		Shard:         g.shard,
		Route:         req.Route(),
		Snapshot:      req.Snapshot(),
		Limit:         req.Limit(),
		ExpectedLabel: a.member.label(req.Snapshot()),
		Deadline:      min(a.task.deadline, end),
		Run:           !req.Idempotent(),
		Body:          req.Body(),
		Patience:      g.patience(a.task),
		Permit:        func() *refusal.Error { return g.authorizeSend(a) },
		OnSilent:      func() { g.handleSilent(a) },
	})
}

// authorizeSend checks again whether the attempt may be sent, immediately
// before its first byte is written. The state may have changed while a
// connection was being made.
func (g *group) authorizeSend(a *attempt) *refusal.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case a.task.done:
		return refusal.New(refusal.Cancelled, "request %s already has a result", a.task.req.ID())
	case !g.maySend() || g.leaseExpired(g.set.clock.Boot()):
		return refusal.New(refusal.NotHome, "lease of the home of group %s has expired", g.id)
	case !a.member.usable():
		return refusal.New(refusal.NoSearcher, "searcher %s accepts no new work", a.member.spec.Name())
	}
	for _, c := range g.credits {
		if c.runsNew(a.member) && c.share == 0 {
			return refusal.New(refusal.NoSearcher, "version %s is stopped: its move share is 0", c.to)
		}
	}
	a.countSend()
	return nil
}
