package cell

import (
	"context"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// callSync makes one Sync call and applies the configuration and membership in the
// reply. It returns nil if the call fails.
func (c *Cell) callSync(address string, in *peerpb.SyncRequest) *peerpb.SyncReply {
	ctx, cancel := c.withTimeout(peerTimeout)
	defer cancel()
	reply, err := c.cfg.calls.Sync(ctx, address, in)
	if err != nil {
		return nil
	}
	c.receiveConfiguration(reply.Catalogue, "")
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	c.contact.lastPeer = now
	c.configuration.observeGeneration(reply.Generation)
	c.receiveMembershipLocked(now, reply.Membership)
	return reply
}

// receiveConfiguration decodes and installs a configuration from a peer. It ignores
// nil and older generations.
func (c *Cell) receiveConfiguration(w *peerpb.Catalogue, origin string) {
	if w == nil || w.Generation < c.Generation() {
		return
	}
	d, err := documentOf(w)
	if err != nil {
		meter.Count("cell.refused.configuration", 1)
		log.Warn().Err(err).Msg("rejected a configuration from a peer; the current one stays in force")
		return
	}
	c.install(d, origin)
}

// HandleSync serves the RPC Sync. It applies the configuration and membership in the
// request and returns those of this daemon if they are newer.
func (c *Cell) HandleSync(_ context.Context, in *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	if len(in.Origin) <= maxName {
		c.receiveConfiguration(in.Catalogue, in.Origin)
	}
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	c.contact.lastPeer = now
	c.receiveMembershipLocked(now, in.Membership)
	doc := &c.configuration.doc
	out := &peerpb.SyncReply{
		SeesStore:   c.contact.seesStore(now),
		Generation:  doc.Generation,
		Incarnation: c.self.Incarnation(),
	}
	if in.Generation < doc.Generation {
		out.Catalogue = doc.wire()
	}
	if m := c.view.membership; m != nil {
		out.Term, out.Epoch = m.term, m.epoch
		if in.Epoch < m.epoch {
			out.Membership = m.wire()
		}
	}
	return out, nil
}

// pullConfigurationLocked asks a peer for a newer configuration, unless a pull is
// running or generation was rejected less than refusedRetry ago.
func (c *Cell) pullConfigurationLocked(address string, generation uint64) {
	c.configuration.observeGeneration(generation)
	x := &c.configuration
	if x.pulling || address == "" || generation <= x.doc.Generation {
		return
	}
	if generation == x.refusedGeneration && c.cfg.clk.Boot() < x.retryAt {
		return
	}
	c.configuration.pulling = true
	in := c.syncRequestLocked()
	c.queueTask(func() {
		c.callSync(address, in)
		c.mu.Lock()
		c.configuration.pulling = false
		c.unlock()
	})
}

// announceMembershipLocked sends a new epoch to its members and to the members that
// may still be homes in earlier epochs.
func (c *Cell) announceMembershipLocked(m *membership) {
	for _, to := range unionMembers(m.members, m.previous) {
		if to.Incarnation() == c.self.Incarnation() {
			continue
		}
		in := c.syncRequestLocked()
		in.Membership = m.wire()
		c.queueTask(func() { c.callSync(to.PeerAddress(), in) })
	}
}
