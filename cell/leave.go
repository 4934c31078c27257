package cell

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// leaveCheckInterval is the interval at which Leave checks for completion.
const leaveCheckInterval = 50 * time.Millisecond

// Leave announces that this daemon is leaving and waits until the handoff of its
// homes is complete or its lease has expired. A leader then releases its store
// lease. Leave returns an error only if ctx is done first.
func (c *Cell) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	c.heartbeat.next = 0
	c.unlock()
	for !c.tryLeave() {
		if err := clock.Sleep(ctx, c.cfg.clk, leaveCheckInterval); err != nil {
			return err
		}
	}
	return nil
}

// tryLeave reports whether the cell no longer depends on this daemon. If only the
// store lease is left, it starts the write that releases it.
func (c *Cell) tryLeave() bool {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	v := &c.view
	if v.membership == nil || now >= max(v.leaseEnd(), v.actingLease) {
		return true
	}
	me, ok := v.membership.member(c.self.Incarnation())
	// Without a successor the epoch may never settle, because a majority of the
	// last settled epoch can have left already.
	if ok && (!me.Leaving() || (!v.settled && v.membership.hasSuccessor())) {
		return false
	}
	l := c.leader
	if l == nil {
		return true
	}
	if !l.writing && !l.leaseReleased {
		// The leader must not grant leases after the write that releases its lease.
		l.leaseReleased = true
		c.writeObjectLocked(now, l.current, true)
	}
	return false
}

// hasSuccessor reports whether any member is not leaving.
func (m *membership) hasSuccessor() bool {
	for _, x := range m.members {
		if !x.Leaving() {
			return true
		}
	}
	return false
}
