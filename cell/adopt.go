package cell

import (
	"time"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// pendingMembership is a received epoch that is not adopted yet, because the
// catalogue from which its homes are computed is still missing.
type pendingMembership struct {
	membership *membership
	since      time.Duration
}

// receiveMembershipLocked decodes a membership from a peer and tries to adopt it.
// It ignores nil and any epoch that is not later than the current one.
func (c *Cell) receiveMembershipLocked(now time.Duration, w *peerpb.Membership) {
	if w == nil || c.view.membership != nil && w.Epoch <= c.view.membership.epoch {
		return
	}
	m, err := membershipOf(w, c.cfg.cell)
	if err != nil {
		meter.Count("cell.refused.membership", 1)
		log.Warn().Err(err).Msg("rejected a membership from a peer; the current one stays in force")
		return
	}
	c.tryAdoptLocked(now, m)
}

// tryAdoptLocked adopts m if it is newer and its homes can be computed. A newer m
// whose catalogue is missing becomes pending, because homes computed from
// different catalogues could overlap.
func (c *Cell) tryAdoptLocked(now time.Duration, m *membership) {
	if m.cannotFollow(c.view.membership) {
		meter.Count("cell.refused.membership", 1)
		log.Warn().Uint64("epoch", m.epoch).Uint64("term", m.term).Msg("rejected a membership with an earlier term or too large a step; the current one stays in force")
		return
	}
	if !m.isNewerThan(c.view.membership) {
		return
	}
	if m.digest == 0 || c.configuration.findInputs(m.digest) != nil || c.view.table == nil {
		c.adoptLocked(now, m)
		return
	}
	if c.pending.membership == nil {
		c.pending.since = now
	}
	if m.isNewerThan(c.pending.membership) {
		c.pending.membership = m
		c.pullConfigurationLocked(m.leader.PeerAddress(), m.generation)
	}
}

// adoptPendingLocked adopts the pending epoch once its catalogue has arrived. After
// inputsTimeout it adopts the epoch without homes, so that the cell can settle it.
func (c *Cell) adoptPendingLocked(now time.Duration) {
	m := c.pending.membership
	switch {
	case m == nil:
	case !m.isNewerThan(c.view.membership):
		c.pending.membership = nil
	case c.configuration.findInputs(m.digest) != nil || now-c.pending.since >= inputsTimeout:
		c.adoptLocked(now, m)
	}
}

// adoptLocked makes m the current epoch. It stops the homes that this daemon lost and
// drops its leases if it is no longer a member.
func (c *Cell) adoptLocked(now time.Duration, m *membership) {
	old := c.view.membership
	if old != nil {
		invariant.Check("cell.epoch", m.epoch > old.epoch && m.term >= old.term,
			"term %d epoch %d after term %d epoch %d", m.term, m.epoch, old.term, old.epoch)
	}
	self := c.self.Name()
	ownedBefore := c.view.ownedGroups(self)
	fullBefore := c.view.fullGroups(now, self)
	if now >= c.view.leaseEnd() {
		c.view.shareVersion++
	}
	c.pending.membership = nil
	c.view.membership, c.view.settled, c.view.settledStored = m, false, false
	c.view.fullBefore, c.view.confirmed = fullBefore, make(map[string]bool)
	c.handoff.planRequests(now, old, m, c.view.table)
	c.view.table = nil
	c.computeTableLocked()
	if _, ok := m.member(c.self.Incarnation()); !ok {
		c.view.grantedLease, c.view.majorityLease, c.view.actingLease, c.view.fullBefore = 0, 0, 0, nil
		c.view.shareVersion++
	}
	c.stopHomesLocked(groupsWithout(ownedBefore, c.view.ownedGroups(self)))
	c.changed = true
	meter.Gauge("cell.epoch", int64(m.epoch))
	log.Info().Uint64("term", m.term).Uint64("epoch", m.epoch).Str("keeper", m.leader.Name()).
		Int("members", len(m.members)).Msg("adopted a membership")
}

// computeTableLocked computes the homes of the current epoch if its catalogue is
// known and the homes are not computed yet.
func (c *Cell) computeTableLocked() {
	if c.view.membership == nil || c.view.table != nil {
		return
	}
	if in := c.configuration.findInputs(c.view.membership.digest); in != nil {
		c.view.table = newHomeTable(in, c.view.membership.members)
		c.changed = true
	}
}

// groupsWithout returns the group IDs of before that are not in after. Both lists
// are sorted.
func groupsWithout(before, after []string) []string {
	var out []string
	for _, id := range before {
		for len(after) > 0 && after[0] < id {
			after = after[1:]
		}
		if len(after) == 0 || after[0] != id {
			out = append(out, id)
		}
	}
	return out
}
