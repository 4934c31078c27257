package cell

// closing is a home that this daemon gave up. A home that was told to stop opens
// again only after shares without its group were applied, so a group that comes
// back at once must be withheld until then.
type closing struct {
	stopping int    // Release calls that have not returned.
	reads    uint64 // Calls of ShareKey when the last one returned.
}

// closeLocked notes that the homes of groups are told to stop.
func (c *Cell) closeLocked(groups []string) {
	for _, id := range groups {
		x := c.closing[id]
		if x == nil {
			x = &closing{}
			c.closing[id] = x
		}
		x.stopping++
	}
}

// closedLocked notes that the homes of groups have stopped.
func (c *Cell) closedLocked(groups []string) {
	for _, id := range groups {
		x := c.closing[id]
		x.stopping--
		x.reads = c.reads
	}
	c.changed = true
}

// appliedLocked forgets the homes for which shares without their groups were
// read after they stopped and are applied now.
func (c *Cell) appliedLocked() {
	for id, x := range c.closing {
		if x.stopping == 0 && x.reads < c.reads {
			delete(c.closing, id)
			c.changed = true
		}
	}
}
