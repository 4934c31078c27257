package home

import (
	"slices"
	"time"
)

// slowProbe is the time between two sends for the sake of the share to a cold
// searcher that is slow. Up to the cold limit the share kept such a searcher
// busy all the time, and with a fan-out of 10 most queries met one. Once in
// two seconds is little enough for the budget of hedges to cover them.
const slowProbe = 2 * time.Second

// permitted reports whether the moves let the next send of the task go to the
// searcher. A searcher may need the credit of several moves, because the
// version that it states counts as well as the listed one.
func (g *group) permitted(t *task, m *member) bool {
	var last *credit // The last move from or to the searcher's version.
	for _, c := range g.credits {
		if c.covers(m) {
			if !c.allowed() {
				return false
			}
			last = c
		} else if c.leaves(m) {
			last = c
		}
	}
	return last == nil || last.share < 1 || !last.leaves(m) || !g.arrived(last, t.req.Snapshot(), m)
}

// arrived reports whether the new version alone serves the snapshot, so that
// the searcher old of the old version gets nothing more. It does once one of its
// searchers has been warm at the full share, for as long as one can take
// requests at all. Before that a cold start of all of them could not bear the
// load, and old helps out if it is warm itself.
func (g *group) arrived(c *credit, snapshot uint64, old *member) bool {
	serves := false
	for _, m := range g.members {
		if m.usable() && c.covers(m) && m.holds(snapshot) && m.limit(g.share) > 0 {
			serves = true
			c.complete = c.complete || m.warmth.warm
		}
	}
	return serves && (c.complete || !old.warmth.warm)
}

// moving reports whether a move leads to the searcher's version.
func (g *group) moving(m *member) bool {
	return slices.ContainsFunc(g.credits, func(c *credit) bool { return c.covers(m) })
}

// due reports whether the searcher runs a new version whose share is due, and
// has room for it. A cold one that is slow is only probed; errors do not count,
// because a bad version has to show them soon.
func (g *group) due(m *member, now time.Duration) bool {
	if !g.moving(m) || m.inflight+m.virtual >= m.limit(g.share) {
		return false
	}
	return m.warmth.warm || now-m.lastSend >= slowProbe || m.estimate.read(now, g.median) <= hedgeSlack*g.median
}
