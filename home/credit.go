package home

import "medlaryard.example/medlaryard/invariant"

// canaryShareInvariant requires that the new version of a move receives no more
// than its share of the sends of a group.
const canaryShareInvariant invariant.Name = "home.canary_share"

// maxCredit bounds the burst of sends to a new version after it was not usable.
const maxCredit = 2

// credit limits a new version to its share of the sends of one group. Every
// send earns the share; a send to the new version needs and spends a credit of
// 1.
type credit struct {
	move   string
	from   string // The old version.
	to     string // The new version.
	share  float64
	value  float64
	earned float64
	spent  float64

	newVersionWarm bool // A searcher of the new version has been warm at the full share.
}

// setShare changes the share. A lower share takes effect at once: the credit
// earned before is lost.
func (c *credit) setShare(share float64) {
	if share < c.share {
		c.value, c.newVersionWarm = 0, false
	}
	c.share = share
}

// allowed reports whether the next send may go to the new version.
func (c *credit) allowed() bool { return c.share > 0 && c.value+c.share >= 1 }

// runsNew reports whether the searcher runs the new version, according to the
// catalogue or to the searcher itself.
func (c *credit) runsNew(m *member) bool {
	return m.spec.Version() == c.to || m.reportedVersion == c.to
}

// runsOldOnly reports whether the searcher runs the old version and not the new
// one.
func (c *credit) runsOldOnly(m *member) bool {
	return (m.spec.Version() == c.from || m.reportedVersion == c.from) && !c.runsNew(m)
}

// recordSend earns the credit of one send, and spends 1 if it goes to the new
// version.
func (c *credit) recordSend(m *member) {
	c.value += c.share
	c.earned += c.share
	if c.runsNew(m) {
		c.value--
		c.spent++
		invariant.Check(canaryShareInvariant, c.share > 0 && c.spent <= c.earned+1e-6,
			"%g sends went to version %s, %g allowed", c.spent, c.to, c.earned)
	}
	c.value = min(c.value, maxCredit)
}
