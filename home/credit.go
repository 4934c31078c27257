package home

import "medlaryard.example/medlaryard/invariant"

// canaryShare is the invariant that a version in a move receives no more than
// its share of the sends of a group.
const canaryShare invariant.Name = "home.canary_share"

// maxCredit bounds the burst of sends to a new version after it was unusable.
const maxCredit = 2

// credit gives a new version its share of the sends of one group. Every send
// earns the share, a send to the new version costs 1 and needs that much.
type credit struct {
	move   string
	from   string // The old version.
	to     string // The new version.
	share  float64
	value  float64
	earned float64
	spent  float64

	complete bool // A searcher of the new version has been warm at the full share.
}

// setShare changes the share. A lower share takes effect at once, without the
// credit earned before.
func (c *credit) setShare(share float64) {
	if share < c.share {
		c.value, c.complete = 0, false
	}
	c.share = share
}

// allowed reports whether the next send may go to the new version.
func (c *credit) allowed() bool { return c.share > 0 && c.value+c.share >= 1 }

// covers reports whether the searcher runs the version, by the catalogue or by
// its own statement.
func (c *credit) covers(m *member) bool { return m.spec.Version() == c.to || m.version == c.to }

// leaves reports whether the searcher runs the old version only.
func (c *credit) leaves(m *member) bool {
	return (m.spec.Version() == c.from || m.version == c.from) && !c.covers(m)
}

// sent counts a send to the searcher.
func (c *credit) sent(m *member) {
	c.value += c.share
	c.earned += c.share
	if c.covers(m) {
		c.value--
		c.spent++
		invariant.Check(canaryShare, c.share > 0 && c.spent <= c.earned+1e-6,
			"%g sends to version %s, %g allowed", c.spent, c.to, c.earned)
	}
	c.value = min(c.value, maxCredit)
}
