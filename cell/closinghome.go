package cell

// closingHome is a home that this daemon gave up. A stopped home reopens only after
// the daemon has applied shares that exclude its group, so a group that is assigned
// to this daemon again is withheld until then.
type closingHome struct {
	pendingReleases  int    // Calls of releaseGroups that have not returned.
	readsWhenStopped uint64 // Value of Cell.shareReads when the last call returned.
}

// startClosingLocked records that the homes of groups are stopping.
func (c *Cell) startClosingLocked(groups []string) {
	for _, id := range groups {
		x := c.closingHomes[id]
		if x == nil {
			x = &closingHome{}
			c.closingHomes[id] = x
		}
		x.pendingReleases++
	}
}

// finishClosingLocked records that the homes of groups have stopped.
func (c *Cell) finishClosingLocked(groups []string) {
	for _, id := range groups {
		x := c.closingHomes[id]
		x.pendingReleases--
		x.readsWhenStopped = c.shareReads
	}
	c.changed = true
}

// pruneClosingLocked deletes the closing homes that have stopped, once the daemon
// has read and applied shares since then.
func (c *Cell) pruneClosingLocked() {
	for id, x := range c.closingHomes {
		if x.pendingReleases == 0 && x.readsWhenStopped < c.shareReads {
			delete(c.closingHomes, id)
			c.changed = true
		}
	}
}
