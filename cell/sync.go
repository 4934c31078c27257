package cell

import (
	"context"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// sync makes one Sync call and takes what the reply carries; nil when it failed.
func (c *Cell) sync(address string, in *peerpb.SyncRequest) *peerpb.SyncReply {
	ctx, cancel := c.within(peerTime)
	defer cancel()
	reply, err := c.cfg.calls.Sync(ctx, address, in)
	if err != nil {
		return nil
	}
	c.take(reply.Catalogue, "")
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	c.contact.peer = now
	c.config.asked(reply.Generation)
	c.offerWireLocked(now, reply.Membership)
	return reply
}

// take installs a configuration from a peer; nil is none.
func (c *Cell) take(w *peerpb.Catalogue, origin string) {
	if w == nil || w.Generation < c.Generation() {
		return
	}
	d, err := documentOf(w)
	if err != nil {
		meter.Count("cell.refused.configuration", 1)
		log.Warn().Err(err).Msg("refused a configuration from a peer")
		return
	}
	c.install(d, origin)
}

// HandleSync serves the rpc Sync.
func (c *Cell) HandleSync(_ context.Context, in *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	if len(in.Origin) <= maxName {
		c.take(in.Catalogue, in.Origin)
	}
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	c.contact.peer = now
	c.offerWireLocked(now, in.Membership)
	doc := &c.config.doc
	out := &peerpb.SyncReply{
		SeesStore:   c.contact.seesStore(now),
		Generation:  doc.Generation,
		Incarnation: c.self.Incarnation(),
	}
	if in.Generation < doc.Generation {
		out.Catalogue = doc.wire()
	}
	if m := c.view.m; m != nil {
		out.Term, out.Epoch = m.term, m.epoch
		if in.Epoch < m.epoch {
			out.Membership = m.wire()
		}
	}
	return out, nil
}

// pullLocked asks a peer for a newer configuration.
func (c *Cell) pullLocked(address string, generation uint64) {
	c.config.asked(generation)
	x := &c.config
	if x.pulling || address == "" || generation <= x.doc.Generation {
		return
	}
	if generation == x.bad && c.cfg.clk.Boot() < x.retry {
		return
	}
	c.config.pulling = true
	in := c.syncRequestLocked()
	c.later(func() {
		c.sync(address, in)
		c.mu.Lock()
		c.config.pulling = false
		c.unlock()
	})
}

// announceLocked sends a new epoch to all that it concerns.
func (c *Cell) announceLocked(m *membership) {
	for _, to := range union(m.members, m.previous) {
		if to.Incarnation() == c.self.Incarnation() {
			continue
		}
		in := c.syncRequestLocked()
		in.Membership = m.wire()
		c.later(func() { c.sync(to.PeerAddress(), in) })
	}
}
