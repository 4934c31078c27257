package cell

// Leader returns the leader of the cell in the epoch that this daemon knows; false
// before the first epoch.
func (c *Cell) Leader() (Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.membership == nil {
		return Member{}, false
	}
	return c.view.membership.leader, true
}

// IsLeader reports whether this daemon is the leader now. The lease is checked on a
// clock that counts pauses, so a leader that was paused sees that its lease has
// expired. IsLeader is false for a yielding leader, which may have a successor
// already.
func (c *Cell) IsLeader() bool {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != nil && !c.leader.leaseReleased && !c.leader.yields && now < c.leader.lease
}
