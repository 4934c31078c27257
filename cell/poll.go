package cell

import (
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// poll asks the members for their epoch while no keeper grants leases.
type poll struct {
	next       time.Duration
	standstill bool // The last lease came from a majority.
	since      time.Duration
	seed       int // Next seed to ask.
	seeding    bool
	last       *round // The round before the current one.
	current    *round
}

// round is one time of asking all members.
type round struct {
	sent  time.Duration
	self  string // Incarnation of the one that asks.
	m     *membership
	same  map[string]bool // Incarnations that know no later epoch.
	store bool            // One of them sees the store.
}

func (c *Cell) pollLocked(now time.Duration) {
	if !c.beat.unheard(now) {
		c.poll.standstill, c.poll.last, c.poll.current = false, nil, nil
		return
	}
	if now < c.poll.next {
		return
	}
	c.poll.next = now + pollInterval
	c.seedLocked(now)
	if c.view.m == nil {
		return
	}
	r := &round{sent: now, self: c.self.Incarnation(), m: c.view.m, same: make(map[string]bool), store: c.contact.seesStore(now)}
	if _, ok := r.m.member(c.self.Incarnation()); !ok {
		return
	}
	c.poll.last, c.poll.current = c.poll.current, r
	c.countLocked(now, r)
	for _, m := range union(r.m.members, r.m.base) {
		if m.Incarnation() != c.self.Incarnation() {
			c.askMemberLocked(r, m)
		}
	}
}

// missed reports whether m did not reply in the last complete round.
func (p *poll) missed(m, self Member) bool {
	return p.last != nil && m.Incarnation() != self.Incarnation() && !p.last.same[m.Incarnation()]
}

// reaches reports whether a majority of m replied lately.
func (p *poll) reaches(now time.Duration, m *membership) bool {
	r := p.last
	return r != nil && now-r.sent < 3*pollInterval && majority(staying(m.members), func(x Member) bool {
		return r.self == x.Incarnation() || r.same[x.Incarnation()]
	})
}

func (c *Cell) askMemberLocked(r *round, m Member) {
	in := c.syncRequestLocked()
	c.later(func() {
		reply := c.sync(m.PeerAddress(), in)
		if reply == nil {
			return
		}
		now := c.cfg.clk.Boot()
		c.mu.Lock()
		defer c.unlock()
		if reply.Incarnation != m.Incarnation() || reply.Epoch > r.m.epoch || reply.Term > r.m.term {
			return
		}
		r.same[m.Incarnation()] = true
		r.store = r.store || reply.SeesStore
		c.countLocked(now, r)
	})
}

// countLocked extends the lease when a majority knows no later epoch. A later
// epoch becomes settled only after a majority of its base has acknowledged it,
// and the two majorities share a daemon. The base of the next epoch is the
// members of this one that stay once the store has this epoch as settled; until
// then it may be this epoch's base as well, so a majority of both is needed.
func (c *Cell) countLocked(now time.Duration, r *round) {
	if c.view.m != r.m {
		return
	}
	end := r.sent + standstillTime
	ok := func(m Member) bool { return m.Incarnation() == c.self.Incarnation() || r.same[m.Incarnation()] }
	switch {
	case !majority(staying(r.m.members), ok) || !c.view.recorded && !majority(r.m.base, ok):
		if len(r.same) > 0 {
			c.view.minor = max(c.view.minor, end)
		}
	case r.store && now-c.beat.granted >= bridgeTime:
		// With the store in reach a keeper must be found; agreement is its task.
		c.view.minor = max(c.view.minor, end)
	default:
		if !c.poll.standstill {
			c.poll.standstill, c.poll.since, c.changed = true, now, true
			meter.Count("cell.standstill", 1)
		}
		c.view.still = max(c.view.still, end)
	}
}

// seedLocked asks one of the configured peers at a time, for daemons that start
// while the store is down and for those that lost contact.
func (c *Cell) seedLocked(now time.Duration) {
	lost := c.view.m == nil || c.config.doc.Generation == 0 || now-c.contact.peer > contactTime
	if !lost || len(c.cfg.seeds) == 0 || c.poll.seeding {
		return
	}
	c.poll.seeding = true
	address := c.cfg.seeds[c.poll.seed%len(c.cfg.seeds)]
	c.poll.seed++
	in := c.syncRequestLocked()
	c.later(func() {
		c.sync(address, in)
		c.mu.Lock()
		c.poll.seeding = false
		c.unlock()
	})
}

func (c *Cell) syncRequestLocked() *peerpb.SyncRequest {
	in := &peerpb.SyncRequest{Generation: c.config.doc.Generation}
	if c.view.m != nil {
		in.Term, in.Epoch = c.view.m.term, c.view.m.epoch
	}
	return in
}
