package cell

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// leaveCheck is the time between looks at whether the homes are handed over.
const leaveCheck = 50 * time.Millisecond

// Leave announces that this daemon is leaving and waits until its homes are
// handed over or its lease has ended. A keeper then gives up its store lease.
func (c *Cell) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	c.beat.next = 0
	c.unlock()
	for !c.left() {
		if err := clock.Sleep(ctx, c.cfg.clk, leaveCheck); err != nil {
			return err
		}
	}
	return nil
}

// left reports whether nothing depends on this daemon any more.
func (c *Cell) left() bool {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	v := &c.view
	if v.m == nil || now >= max(v.live(), v.minor) {
		return true
	}
	me, ok := v.m.member(c.self.Incarnation())
	// Without a successor there is nobody to wait for: the epoch may never
	// settle, because a majority of the last settled one can have left already.
	if ok && (!me.Leaving() || (!v.settled && v.m.hasSuccessor())) {
		return false
	}
	k := c.keeper
	if k == nil {
		return true
	}
	if !k.writing && !k.stopped {
		// No grant may follow the write that gives up the lease.
		k.stopped = true
		c.writeLocked(now, k.cur, true)
	}
	return false
}

// hasSuccessor reports whether any member stays.
func (m *membership) hasSuccessor() bool {
	for _, x := range m.members {
		if !x.Leaving() {
			return true
		}
	}
	return false
}
