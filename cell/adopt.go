package cell

import (
	"time"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// pending is an epoch that waits for the catalogue that its homes are computed from.
type pending struct {
	m     *membership
	since time.Duration
}

// offerWireLocked takes a membership from a peer; nil is no offer.
func (c *Cell) offerWireLocked(now time.Duration, w *peerpb.Membership) {
	if w == nil || c.view.m != nil && w.Epoch <= c.view.m.epoch {
		return
	}
	m, err := membershipOf(w, c.cfg.cell)
	if err != nil {
		meter.Count("cell.refused.membership", 1)
		log.Warn().Err(err).Msg("refused a membership from a peer")
		return
	}
	c.offerLocked(now, m)
}

// offerLocked adopts m if it is newer and its homes can be computed. Otherwise
// m waits, because homes computed from another catalogue could overlap.
func (c *Cell) offerLocked(now time.Duration, m *membership) {
	if m.contradicts(c.view.m) {
		meter.Count("cell.refused.membership", 1)
		log.Warn().Uint64("epoch", m.epoch).Uint64("term", m.term).Msg("refused a membership that cannot follow")
		return
	}
	if !m.newer(c.view.m) {
		return
	}
	if m.digest == 0 || c.config.find(m.digest) != nil || c.view.table == nil {
		c.adoptLocked(now, m)
		return
	}
	if c.pending.m == nil {
		c.pending.since = now
	}
	if m.newer(c.pending.m) {
		c.pending.m = m
		c.pullLocked(m.keeper.PeerAddress(), m.generation)
	}
}

// adoptPendingLocked adopts the waiting epoch when its catalogue has arrived. When
// that takes too long it is adopted without homes, so that others can settle it.
func (c *Cell) adoptPendingLocked(now time.Duration) {
	m := c.pending.m
	switch {
	case m == nil:
	case !m.newer(c.view.m):
		c.pending.m = nil
	case c.config.find(m.digest) != nil || now-c.pending.since >= inputsWait:
		c.adoptLocked(now, m)
	}
}

func (c *Cell) adoptLocked(now time.Duration, m *membership) {
	old := c.view.m
	if old != nil {
		invariant.Check("cell.epoch", m.epoch > old.epoch && m.term >= old.term,
			"term %d epoch %d after term %d epoch %d", m.term, m.epoch, old.term, old.epoch)
	}
	self := c.self.Name()
	before := c.view.owned(self)
	kept := c.view.fullGroups(now, self)
	if now >= c.view.live() {
		c.view.stamp++
	}
	c.pending.m = nil
	c.view.m, c.view.settled, c.view.recorded = m, false, false
	c.view.kept, c.view.granted = kept, make(map[string]bool)
	c.release.plan(now, old, m, c.view.table)
	c.view.table = nil
	c.fillTableLocked()
	if _, ok := m.member(c.self.Incarnation()); !ok {
		c.view.lease, c.view.still, c.view.minor, c.view.kept = 0, 0, 0, nil
		c.view.stamp++
	}
	c.stopLocked(missing(before, c.view.owned(self)))
	c.changed = true
	meter.Gauge("cell.epoch", int64(m.epoch))
	log.Info().Uint64("term", m.term).Uint64("epoch", m.epoch).Str("keeper", m.keeper.Name()).
		Int("members", len(m.members)).Msg("adopted a membership")
}

// fillTableLocked computes the homes of the epoch once its catalogue is known.
func (c *Cell) fillTableLocked() {
	if c.view.m == nil || c.view.table != nil {
		return
	}
	if in := c.config.find(c.view.m.digest); in != nil {
		c.view.table = newTable(in, c.view.m.members)
		c.changed = true
	}
}

// missing returns what before has and after lacks; both are sorted.
func missing(before, after []string) []string {
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
