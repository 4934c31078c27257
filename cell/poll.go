package cell

import (
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// poll is the state of the rounds in which this daemon asks all members for their
// epoch while no leader grants leases.
type poll struct {
	next            time.Duration
	standstill      bool // A majority extends the lease instead of a leader.
	standstillSince time.Duration
	nextSeed        int // Number of calls to seeds so far; selects the next seed modulo their number.
	askingSeed      bool
	lastRound       *pollRound // The round before currentRound.
	currentRound    *pollRound
}

// pollRound is one round of Sync calls to all members.
type pollRound struct {
	sent            time.Duration
	selfIncarnation string // Incarnation of this daemon.
	membership      *membership
	agreeing        map[string]bool // Incarnations that replied and know no later epoch or term.
	seesStore       bool            // This daemon or one of agreeing sees the store.
}

// pollLocked starts the next round if no leader grants leases and the round is due.
func (c *Cell) pollLocked(now time.Duration) {
	if !c.heartbeat.grantOverdue(now) {
		c.poll.standstill, c.poll.lastRound, c.poll.currentRound = false, nil, nil
		return
	}
	if now < c.poll.next {
		return
	}
	c.poll.next = now + pollInterval
	c.askSeedLocked(now)
	if c.view.membership == nil {
		return
	}
	r := &pollRound{sent: now, selfIncarnation: c.self.Incarnation(), membership: c.view.membership, agreeing: make(map[string]bool), seesStore: c.contact.seesStore(now)}
	if _, ok := r.membership.member(c.self.Incarnation()); !ok {
		return
	}
	c.poll.lastRound, c.poll.currentRound = c.poll.currentRound, r
	c.extendMajorityLeaseLocked(now, r)
	for _, m := range unionMembers(r.membership.members, r.membership.base) {
		if m.Incarnation() != c.self.Incarnation() {
			c.pollMemberLocked(r, m)
		}
	}
}

// missedLastRound reports whether m did not agree in the last complete round.
func (p *poll) missedLastRound(m, self Member) bool {
	return p.lastRound != nil && m.Incarnation() != self.Incarnation() && !p.lastRound.agreeing[m.Incarnation()]
}

// reachesMajority reports whether a majority of the staying members of m agreed in
// the last complete round, sent less than three poll intervals ago.
func (p *poll) reachesMajority(now time.Duration, m *membership) bool {
	r := p.lastRound
	return r != nil && now-r.sent < 3*pollInterval && isMajority(stayingMembers(m.members), func(x Member) bool {
		return r.selfIncarnation == x.Incarnation() || r.agreeing[x.Incarnation()]
	})
}

// pollMemberLocked asks m for its epoch and counts its reply in r.
func (c *Cell) pollMemberLocked(r *pollRound, m Member) {
	in := c.syncRequestLocked()
	c.queueTask(func() {
		reply := c.callSync(m.PeerAddress(), in)
		if reply == nil {
			return
		}
		now := c.cfg.clk.Boot()
		c.mu.Lock()
		defer c.unlock()
		if reply.Incarnation != m.Incarnation() || reply.Epoch > r.membership.epoch || reply.Term > r.membership.term {
			return
		}
		r.agreeing[m.Incarnation()] = true
		r.seesStore = r.seesStore || reply.SeesStore
		c.extendMajorityLeaseLocked(now, r)
	})
}

// extendMajorityLeaseLocked extends the lease if a majority of the members knows no
// later epoch. This is safe because a later epoch settles only after a majority of its
// base has acknowledged it, and the two majorities share a daemon. Once the store
// records this epoch as settled, the base of the next epoch is the staying members of
// this one. Until then the next epoch may keep the base of this one, so majorities
// of both are required. Without them this daemon may act as a stand-in if any member agrees.
func (c *Cell) extendMajorityLeaseLocked(now time.Duration, r *pollRound) {
	if c.view.membership != r.membership {
		return
	}
	end := r.sent + standstillLease
	ok := func(m Member) bool { return m.Incarnation() == c.self.Incarnation() || r.agreeing[m.Incarnation()] }
	switch {
	case !isMajority(stayingMembers(r.membership.members), ok) || !c.view.settledStored && !isMajority(r.membership.base, ok):
		if len(r.agreeing) > 0 {
			c.view.actingLease = max(c.view.actingLease, end)
		}
	case r.seesStore && now-c.heartbeat.lastGrant >= maxStandstillWithStore:
		// The store is reachable, so a leader can be elected and must coordinate the
		// members instead of the majority.
		c.view.actingLease = max(c.view.actingLease, end)
	default:
		if !c.poll.standstill {
			c.poll.standstill, c.poll.standstillSince, c.changed = true, now, true
			meter.Count("cell.standstill", 1)
		}
		c.view.majorityLease = max(c.view.majorityLease, end)
	}
}

// askSeedLocked asks the next of the configured peers for the configuration and the
// membership. It serves daemons that start while the store is down and daemons that
// have lost contact with all peers.
func (c *Cell) askSeedLocked(now time.Duration) {
	needsSeed := c.view.membership == nil || c.configuration.doc.Generation == 0 || now-c.contact.lastPeer > isolationTimeout
	if !needsSeed || len(c.cfg.seeds) == 0 || c.poll.askingSeed {
		return
	}
	c.poll.askingSeed = true
	address := c.cfg.seeds[c.poll.nextSeed%len(c.cfg.seeds)]
	c.poll.nextSeed++
	in := c.syncRequestLocked()
	c.queueTask(func() {
		c.callSync(address, in)
		c.mu.Lock()
		c.poll.askingSeed = false
		c.unlock()
	})
}

func (c *Cell) syncRequestLocked() *peerpb.SyncRequest {
	in := &peerpb.SyncRequest{Generation: c.configuration.doc.Generation}
	if c.view.membership != nil {
		in.Term, in.Epoch = c.view.membership.term, c.view.membership.epoch
	}
	return in
}
