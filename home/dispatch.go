package home

import (
	"time"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/searcher"
)

// The invariants that hold at every send.
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

// maxLooked bounds the waiting tasks that one round looks at. A round looks
// past the first task only while a slower searcher has room, so the bound need
// not cover a whole queue.
const maxLooked = 64

// dispatch sends as many waiting tasks as the limits permit. It runs after
// every event that can make room.
func (g *group) dispatch(now time.Duration) {
	if g.queue.len() == 0 {
		return
	}
	if !g.open() {
		g.flush()
		return
	}
	for _, m := range g.members {
		m.virtual = 0
	}
	looked := 0
	for _, l := range g.queue.order() {
		for t := l.first; t != nil && looked < maxLooked; looked++ {
			next := t.next
			g.consider(t, now)
			t = next
		}
	}
}

// consider sends the task, lets it wait or refuses it.
func (g *group) consider(t *task, now time.Duration) {
	switch {
	case t.silent != nil:
		g.considerSilent(t)
		return
	case t.hedging:
		g.considerHedge(t, now)
		return
	}
	if e := g.hopeless(t); e != nil {
		g.refuse(t, e)
		return
	}
	m := g.pick(t, now)
	if m == nil {
		return
	}
	if m.virtual >= g.room(m, now) {
		m.virtual++
		return
	}
	paid := t.extra()
	if paid && !t.prepaid && !g.service.budget.take(0) {
		g.starve(t)
		return // The next arrivals earn a token.
	}
	g.queue.remove(t)
	t.sated()
	t.prepaid = false
	g.send(t, m, now, paid)
}

// send starts an attempt. All sends pass here, and every promise about them is
// checked here.
func (g *group) send(t *task, m *member, now time.Duration, paid bool) {
	end := g.set.leaseEnd() // Read once, because another goroutine may change it.
	if end <= now {
		g.unleased(t, paid)
		return
	}
	invariant.Check(sendLease, g.open() && now < end, "group %s has share %s", g.id, g.share)
	invariant.Check(sendUsable, m.usable(), "searcher %s of group %s", m.spec.Name(), g.id)
	invariant.Check(sendLimit, m.inflight < m.limit(g.share) && m.inflight < m.slots(),
		"searcher %s runs %d of %d", m.spec.Name(), m.inflight, m.limit(g.share))
	invariant.Check(sendColdShare, g.share == lease.Full || !m.warmth.evident,
		"searcher %s is cold at share %s", m.spec.Name(), g.share)
	invariant.Check(sendSnapshot, m.holds(t.req.Snapshot()), "searcher %s, snapshot %d", m.spec.Name(), t.req.Snapshot())
	invariant.Check(sendOnce, t.req.Idempotent() || t.notRun(), "request %s, outcome so far %s", t.req.ID(), t.ran)
	invariant.Check(sendSuspect, (!t.req.Suspect() || t.sends == 0) && !t.crashed, "request %s", t.req.ID())
	invariant.Check(sendAfterReply, !t.done, "request %s", t.req.ID())

	for _, c := range g.credits {
		c.sent(m)
	}
	a := &attempt{t: t, m: m, sent: now, version: m.spec.Version(), first: t.sends == 0, paid: paid, hedge: len(t.running) > 0}
	t.sends++
	t.running = append(t.running, a)
	if !t.hasTried(m) {
		t.tried = append(t.tried, m)
	}
	m.inflight++
	m.lastSend = now
	g.inflight++
	g.turn++
	if a.first {
		g.armHedge(t, now)
	}
	a.cancel = m.target.Send(g.call(a, end), func(r searcher.Reply, f *searcher.Failure) { g.ended(a, r, f) })
}

// unleased ends a task that was to be sent after the lease's end. A hedge is
// only dropped, because its first attempt was sent in time.
func (g *group) unleased(t *task, paid bool) {
	if paid {
		g.service.budget.refund()
	}
	if len(t.running) == 0 {
		g.refuse(t, refusal.New(refusal.NotHome, "the home lease has ended"))
	}
}

// call is the message to the searcher. Its deadline is no later than the end of
// the lease.
func (g *group) call(a *attempt, end time.Duration) searcher.Call {
	req := a.t.req
	return searcher.NewCall(searcher.CallSpec{
		ID:        req.ID(),
		Shard:     g.shard,
		Route:     req.Route(),
		Snapshot:  req.Snapshot(),
		Limit:     req.Limit(),
		Announced: a.m.label(req.Snapshot()),
		Deadline:  min(a.t.deadline, end),
		Run:       !req.Idempotent(),
		Body:      req.Body(),
		Patience:  g.patience(a.t),
		Permit:    func() *refusal.Error { return g.permit(a) },
		OnSilent:  func() { g.silent(a) },
	})
}

// permit is asked immediately before the first byte of an attempt is written;
// since the send was decided a connection had to be made.
func (g *group) permit(a *attempt) *refusal.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case a.t.done:
		return refusal.New(refusal.Cancelled, "the result is not awaited any more")
	case !g.open() || g.leaseOver(g.set.clock.Boot()):
		return refusal.New(refusal.NotHome, "the home lease has ended")
	case !a.m.usable():
		return refusal.New(refusal.NoSearcher, "searcher %s takes no new work", a.m.spec.Name())
	}
	for _, c := range g.credits {
		if c.covers(a.m) && c.share == 0 {
			return refusal.New(refusal.NoSearcher, "version %s was stopped", c.to)
		}
	}
	a.count()
	return nil
}
