package cell

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// beat is this daemon's side of the heartbeat.
type beat struct {
	next     time.Duration
	inFlight int
	granted  time.Duration // When the last grant arrived; 0 before the first.
	refused  bool          // The keeper answered that it is not the keeper.
}

// unheard reports whether no keeper has granted a lease lately.
func (b *beat) unheard(now time.Duration) bool {
	return b.granted == 0 || now-b.granted >= unheardTime
}

func (c *Cell) beatLocked(now time.Duration) {
	if now < c.beat.next || c.view.m == nil {
		return
	}
	c.beat.next = now + beatInterval
	in := c.beatRequestLocked(now)
	if c.keeper != nil {
		c.beatReplyLocked(now, now, c.grantLocked(now, in))
		return
	}
	keeper := c.view.m.keeper
	if keeper.Incarnation() == c.self.Incarnation() || c.beat.inFlight >= maxBeats {
		return
	}
	c.beat.inFlight++
	c.later(func() {
		ctx, cancel := c.within(peerTime)
		defer cancel()
		sent := c.cfg.clk.Boot()
		reply, err := c.cfg.calls.Heartbeat(ctx, keeper.PeerAddress(), in)
		now := c.cfg.clk.Boot()
		c.mu.Lock()
		c.beat.inFlight--
		if err == nil {
			c.contact.peer = now
			c.beatReplyLocked(now, sent, reply)
			if reply.Generation > c.config.doc.Generation {
				c.pullLocked(keeper.PeerAddress(), reply.Generation)
			}
		}
		c.unlock()
	})
}

func (c *Cell) beatRequestLocked(now time.Duration) *peerpb.HeartbeatRequest {
	me := c.self.withLeaving(c.leaving).wire()
	if _, ok := c.view.m.member(c.self.Incarnation()); ok {
		// The keeper has the rest; see keeper.hear.
		me.Domain, me.Region, me.CallerAddress = "", "", ""
	}
	return &peerpb.HeartbeatRequest{
		Member:     me,
		Term:       c.view.m.term,
		Epoch:      c.view.released,
		KnownEpoch: c.view.m.epoch,
		Generation: c.config.doc.Generation,
		SeesStore:  c.contact.seesStore(now),
	}
}

// beatReplyLocked extends the lease from the time the heartbeat was sent. It
// does so only when this daemon is at the epoch of the reply: the keeper may
// have settled that epoch on the ground that no lease of an earlier one is left.
func (c *Cell) beatReplyLocked(now, sent time.Duration, r *peerpb.HeartbeatReply) {
	c.offerWireLocked(now, r.Membership)
	v := &c.view
	c.beat.refused = !r.Accepted && r.Term == v.m.term && r.Epoch == v.m.epoch
	if !r.Accepted || r.Term != v.m.term || r.Epoch != v.m.epoch {
		return
	}
	if _, ok := v.m.member(c.self.Incarnation()); !ok {
		return
	}
	was := v.live()
	end := sent + leaseTime
	v.lease = max(v.lease, end)
	c.beat.granted = now
	invariant.Check("cell.lease", sent <= now && v.lease <= now+leaseTime,
		"lease ends at %v, heartbeat sent at %v, now %v", v.lease, sent, now)
	if r.FullShare && !v.settled {
		v.settled = true
		c.changed = true
	}
	v.recorded = v.recorded || r.FullShare && r.Recorded
	c.changed = c.changed || now >= was
}

// HandleHeartbeat serves the rpc Heartbeat.
func (c *Cell) HandleHeartbeat(_ context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	c.contact.peer = now
	return c.grantLocked(now, in), nil
}
