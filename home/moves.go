package home

import (
	"slices"
	"time"
)

// slowProbeInterval is the time between two sends to a cold and slow searcher
// whose version is due by its move share. Without this interval, such a
// searcher ran requests at its cold limit all the time, and with a fan-out of
// 10 most queries hit one. The hedge budget covers one probe in two seconds.
const slowProbeInterval = 2 * time.Second

// allowedByMoves reports whether the moves allow the next send of the task to
// go to the searcher. A searcher may need the credit of several moves, because
// both its reported version and its catalogue version count.
func (g *group) allowedByMoves(t *task, m *member) bool {
	var last *credit // The last move from or to the searcher's version.
	for _, c := range g.credits {
		if c.runsNew(m) {
			if !c.allowed() {
				return false
			}
			last = c
		} else if c.runsOldOnly(m) {
			last = c
		}
	}
	return last == nil || last.share < 1 || !last.runsOldOnly(m) || !g.newVersionServes(last, t.req.Snapshot(), m)
}

// newVersionServes reports whether the new version serves the snapshot alone,
// so that the searcher old, on the old version, gets no more requests. That is
// the case once a searcher of the new version has been warm at the full share,
// and while at least one of them can receive requests. Before that, the new
// version could not carry the load if all its searchers started cold, so old
// still serves if it is warm.
func (g *group) newVersionServes(c *credit, snapshot uint64, old *member) bool {
	serves := false
	for _, m := range g.members {
		if m.usable() && c.runsNew(m) && m.holds(snapshot) && m.limit(g.share) > 0 {
			serves = true
			c.newVersionWarm = c.newVersionWarm || m.warmup.warm
		}
	}
	return serves && (c.newVersionWarm || !old.warmup.warm)
}

// isMoveTarget reports whether the searcher runs the new version of a move.
func (g *group) isMoveTarget(m *member) bool {
	return slices.ContainsFunc(g.credits, func(c *credit) bool { return c.runsNew(m) })
}

// canaryDue reports whether the searcher runs a new version that should receive
// the next send by its share, and has a free slot. A cold and slow searcher is
// only probed at an interval. Errors do not count here, because a bad version
// has to show them soon.
func (g *group) canaryDue(m *member, now time.Duration) bool {
	if !g.isMoveTarget(m) || m.inflight+m.planned >= m.limit(g.share) {
		return false
	}
	return m.warmup.warm || now-m.lastSend >= slowProbeInterval || m.latency.current(now, g.medianLatency) <= maxHedgeLatencyRatio*g.medianLatency
}
