package cell

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/store"
)

// election is the state of the search for a leader: while no leader grants leases,
// this daemon reads the cell object periodically and may take over.
type election struct {
	next         time.Duration
	running      bool
	observed     bool          // version and versionSince are set.
	version      uint64        // Of the object at the last read.
	versionSince time.Duration // When that version was first seen.
}

// electLocked starts a read of the cell object when the next one is due and no leader
// grants leases. The first candidate does not wait for grantTimeout if the known leader
// rejects its heartbeats.
func (c *Cell) electLocked(now time.Duration) {
	x := &c.election
	if c.leader != nil || c.leaving || x.running {
		return
	}
	if !c.heartbeat.grantOverdue(now) && !(c.heartbeat.refusedByLeader && c.candidateRankLocked() == 0) {
		x.observed = false
		x.next = min(x.next, now)
		return
	}
	if now < x.next {
		return
	}
	rank := c.candidateRankLocked()
	x.running = true
	x.next = now + candidateInterval
	if rank >= firstCandidates && c.view.membership != nil {
		x.next = now + laterCandidateInterval + time.Duration(rank)*rankDelay
	}
	c.queueTask(func() { c.checkObject(rank) })
}

// candidateRankLocked returns the rank of this daemon among the candidates for the
// next term, from 0. Members that did not reply in the last round do not count.
func (c *Cell) candidateRankLocked() int {
	m := c.view.membership
	if m == nil {
		return 0
	}
	key := c.cfg.cell + "/" + strconv.FormatUint(m.term, 10)
	var list []Member
	for _, x := range m.members {
		if !x.Leaving() && x.Incarnation() != m.leader.Incarnation() && !c.poll.missedLastRound(x, c.self) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(key, b.Name()), score(key, a.Name())), cmp.Compare(a.Name(), b.Name()))
	})
	if i := rankOf(list, c.self.Name()); i >= 0 {
		return i
	}
	return len(list)
}

// checkObject reads the cell object and takes over if the leader has released it,
// yields, or has not renewed it for longer than the store lease.
func (c *Cell) checkObject(rank int) {
	obj, err := c.get(c.objectKey())
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	x := &c.election
	x.running = false
	if c.leader != nil || err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	var o *cellObject
	var m *membership
	version := store.Absent
	if err == nil {
		version = obj.Version()
		o, m, err = decodeObject(obj.Value(), c.cfg.cell)
		if err == nil && m.cannotFollow(c.view.membership) {
			err = eris.Errorf("term %d epoch %d cannot follow term %d epoch %d", m.term, m.epoch, c.view.membership.term, c.view.membership.epoch)
		}
		if err != nil {
			meter.Count("cell.refused.object", 1)
			log.Warn().Err(err).Msg("rejected the cell object; treating it as unreadable")
			o, m = nil, nil
		}
	}
	if !x.observed || version != x.version {
		x.observed, x.version, x.versionSince = true, version, now
	}
	if m != nil {
		c.tryAdoptLocked(now, m)
	}
	if c.leaving || !c.mayTakeOverLocked(now, rank, o, m, version) {
		return
	}
	next := c.successorMembershipLocked(o, m)
	if next == nil {
		return
	}
	x.running = true
	yields := o != nil && o.Yields
	c.queueTask(func() { c.takeOver(next, version, yields) })
}

// mayTakeOverLocked reports whether this daemon may write the first epoch of the next
// term. o and m are nil if the object is missing or unreadable. The required wait
// grows with rank.
func (c *Cell) mayTakeOverLocked(now time.Duration, rank int, o *cellObject, m *membership, version uint64) bool {
	idle := now - c.election.versionSince
	if m != nil && !m.isNewerThan(c.view.membership) && c.view.membership != nil && m.epoch < c.view.membership.epoch {
		o, m = nil, nil // The object was reset to an earlier epoch; wait as for an unknown leader.
	}
	switch {
	case m == nil && version == store.Absent && c.view.membership == nil:
		return true
	case m != nil && m.leader.Incarnation() == c.self.Incarnation():
		return true
	case m != nil && o.Yields && c.poll.reachesMajority(now, m):
		return idle >= time.Duration(rank)*rankDelay
	case m != nil && o.Released:
		return idle >= time.Duration(rank)*rankDelay
	default:
		return idle >= storeLeaseDuration+clockMargin+time.Duration(rank)*rankDelay
	}
}

// successorMembershipLocked returns the first epoch of the next term, or nil if there
// can be none. Only the object records whether the last epoch was settled.
func (c *Cell) successorMembershipLocked(o *cellObject, m *membership) *membership {
	v := c.view.membership
	settled := m != nil && o.Settled
	if m == nil || v != nil && v.epoch > m.epoch {
		if v == nil && m == nil && o == nil && c.election.version != store.Absent {
			// The object is unreadable and this daemon knows no epoch. A new object
			// could conflict with existing homes.
			meter.Count("cell.takeover.blocked", 1)
			return nil
		}
		m, settled = v, false
	}
	if m == nil {
		self := []Member{c.self}
		return &membership{
			cell: c.cfg.cell, term: 1, epoch: 1, leader: c.self, members: self,
			// This daemon alone is a majority of this epoch and may extend its own
			// lease, so the next epoch needs its acknowledgement to settle.
			base:       self,
			generation: c.configuration.doc.Generation, digest: c.configuration.digest(),
		}
	}
	next := *m
	next.term, next.epoch, next.leader = m.term+1, m.epoch+1, c.self
	next.previous = unionMembers(m.members, m.previous)
	if settled {
		next.previous, next.baseEpoch = stayingMembers(m.members), m.epoch
		next.base = next.previous
	}
	next.members = slices.DeleteFunc(slices.Clone(m.members), func(x Member) bool {
		return x.Name() == c.self.Name()
	})
	next.members = append(next.members, c.self)
	if len(next.members) > maxMembers || len(next.previous) > maxPrevious {
		return nil
	}
	return &next
}

// takeOver writes the first epoch of the next term and makes this daemon the leader
// if the write succeeds. yields says that the previous leader was yielding.
func (c *Cell) takeOver(next *membership, expected uint64, yields bool) {
	sent := c.cfg.clk.Boot()
	o := newObject(next)
	o.Token = c.cfg.newToken()
	value, err := o.encode()
	if err != nil {
		log.Error().Err(err).Msg("cannot encode the cell object; not taking over")
		return
	}
	obj, err := c.put(value, expected)
	if err != nil {
		if obj, err = c.get(c.objectKey()); err == nil {
			var got *cellObject
			if got, _, err = decodeObject(obj.Value(), c.cfg.cell); err == nil && got.Token != o.Token {
				err = store.ErrConflict
			}
		}
	}
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	c.election = election{next: now + candidateInterval}
	if err != nil || !next.isNewerThan(c.view.membership) {
		return
	}
	meter.Count("cell.takeover", 1)
	log.Info().Str("cell", c.cfg.cell).Uint64("term", next.term).Msg("became keeper")
	since := now
	if yields {
		// The previous leader may grant leases until its store lease expires.
		since += storeLeaseDuration
	}
	c.leader = newLeaderState(next, obj.Version(), since, sent)
	c.adoptLocked(now, next)
	c.announceMembershipLocked(next)
	c.heartbeat.next = 0
}
