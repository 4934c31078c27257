package cell

// Leader returns the member that keeps the cell, as far as this daemon knows.
func (c *Cell) Leader() (Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.m == nil {
		return Member{}, false
	}
	return c.view.m.keeper, true
}

// IsLeader reports whether this daemon keeps the cell now. It reads the lease
// on a clock that counts pauses, so a holder that was paused learns that it no
// longer holds the role. A keeper that yields may have a successor already.
func (c *Cell) IsLeader() bool {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keeper != nil && !c.keeper.stopped && !c.keeper.yields && now < c.keeper.lease
}
