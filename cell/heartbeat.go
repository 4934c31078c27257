package cell

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// heartbeat is the state of the heartbeats that this daemon sends to the leader.
type heartbeat struct {
	next            time.Duration
	inFlight        int
	lastGrant       time.Duration // When the last lease grant arrived; 0 before the first.
	refusedByLeader bool          // The leader of the current epoch rejected the last heartbeat.
}

// grantOverdue reports whether no leader has granted a lease for grantTimeout.
func (h *heartbeat) grantOverdue(now time.Duration) bool {
	return h.lastGrant == 0 || now-h.lastGrant >= grantTimeout
}

// sendHeartbeatLocked sends a heartbeat to the leader if one is due. The leader handles
// its own heartbeat locally.
func (c *Cell) sendHeartbeatLocked(now time.Duration) {
	if now < c.heartbeat.next || c.view.membership == nil {
		return
	}
	c.heartbeat.next = now + heartbeatInterval
	in := c.heartbeatRequestLocked(now)
	if c.leader != nil {
		c.applyHeartbeatReplyLocked(now, now, c.handleHeartbeatLocked(now, in))
		return
	}
	leader := c.view.membership.leader
	if leader.Incarnation() == c.self.Incarnation() || c.heartbeat.inFlight >= maxHeartbeats {
		return
	}
	c.heartbeat.inFlight++
	c.queueTask(func() {
		ctx, cancel := c.withTimeout(peerTimeout)
		defer cancel()
		sent := c.cfg.clk.Boot()
		reply, err := c.cfg.calls.Heartbeat(ctx, leader.PeerAddress(), in)
		now := c.cfg.clk.Boot()
		c.mu.Lock()
		c.heartbeat.inFlight--
		if err == nil {
			c.contact.lastPeer = now
			c.applyHeartbeatReplyLocked(now, sent, reply)
			if reply.Generation > c.configuration.doc.Generation {
				c.pullConfigurationLocked(leader.PeerAddress(), reply.Generation)
			}
		}
		c.unlock()
	})
}

// heartbeatRequestLocked returns the next heartbeat of this daemon.
func (c *Cell) heartbeatRequestLocked(now time.Duration) *peerpb.HeartbeatRequest {
	me := c.self.withLeaving(c.leaving).wire()
	if _, ok := c.view.membership.member(c.self.Incarnation()); ok {
		// The leader has the other fields; see leaderState.recordHeartbeat.
		me.Domain, me.Region, me.CallerAddress = "", "", ""
	}
	return &peerpb.HeartbeatRequest{
		Member:     me,
		Term:       c.view.membership.term,
		Epoch:      c.view.releasedEpoch,
		KnownEpoch: c.view.membership.epoch,
		Generation: c.configuration.doc.Generation,
		SeesStore:  c.contact.seesStore(now),
	}
}

// applyHeartbeatReplyLocked extends the lease, counted from the time the heartbeat
// was sent. It does so only if this daemon is at the epoch of the reply, because the
// leader may have settled that epoch after all leases of earlier epochs had expired.
func (c *Cell) applyHeartbeatReplyLocked(now, sent time.Duration, r *peerpb.HeartbeatReply) {
	c.receiveMembershipLocked(now, r.Membership)
	v := &c.view
	c.heartbeat.refusedByLeader = !r.Accepted && r.Term == v.membership.term && r.Epoch == v.membership.epoch
	if !r.Accepted || r.Term != v.membership.term || r.Epoch != v.membership.epoch {
		return
	}
	if _, ok := v.membership.member(c.self.Incarnation()); !ok {
		return
	}
	was := v.leaseEnd()
	end := sent + leaseDuration
	v.grantedLease = max(v.grantedLease, end)
	c.heartbeat.lastGrant = now
	invariant.Check("cell.lease", sent <= now && v.grantedLease <= now+leaseDuration,
		"lease ends at %v, heartbeat sent at %v, now %v", v.grantedLease, sent, now)
	if r.FullShare && !v.settled {
		v.settled = true
		c.changed = true
	}
	v.settledStored = v.settledStored || r.FullShare && r.Recorded
	c.changed = c.changed || now >= was
}

// HandleHeartbeat serves the RPC Heartbeat.
func (c *Cell) HandleHeartbeat(_ context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	c.contact.lastPeer = now
	return c.handleHeartbeatLocked(now, in), nil
}
