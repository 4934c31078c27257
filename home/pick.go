package home

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/refusal"
)

// loadWeight is the weight of the load besides the expected completion. It
// tells apart equal searchers that both have a free slot, and lets a slower
// searcher relieve a queue before all that waits is as late as it would be
// there. At 40% load with one searcher of a pair ten times slow, pooled over
// four seeds, weights of 1, 1.5 and 2.5 gave p99 of 76, 79 and 81 ms; at 30%
// load with the sound searcher farther away 59, 55 and 56 ms.
const loadWeight = 1.5

// room is the number of further requests that a searcher may receive now.
func (g *group) room(m *member, now time.Duration) int {
	if m.warmth.restUntil > now {
		return 0
	}
	return m.limit(g.share) - m.inflight
}

// fits reports whether a searcher may ever run the task in its present state.
func (g *group) fits(t *task, m *member) bool {
	if !m.usable() || !m.holds(t.req.Snapshot()) || (t.warmOnly && !m.warmth.warm) {
		return false
	}
	return g.permitted(t, m)
}

// pick returns the searcher for the task's next send, or nil when the task has
// to wait for a better one than is free now.
func (g *group) pick(t *task, now time.Duration) *member {
	if m := g.best(t, now, func(m *member) bool { return g.due(m, now) }); m != nil {
		return m
	}
	m := g.best(t, now, func(m *member) bool { return !t.hasTried(m) })
	if m == nil {
		m = g.best(t, now, func(*member) bool { return true })
	}
	if m == nil || m.warmth.warm || !g.moving(m) || m.virtual < g.room(m, now) {
		return m
	}
	// No request waits for a cold searcher of a new version while a warm one has room.
	if w := g.best(t, now, func(m *member) bool { return m.warmth.warm && m.virtual < g.room(m, now) }); w != nil {
		return w
	}
	return m
}

// best returns the searcher with the lowest cost among those that fit and are
// accepted.
func (g *group) best(t *task, now time.Duration, accept func(*member) bool) *member {
	var best *member
	var lowest float64
	for i := range g.members {
		m := g.members[(g.turn+i)%len(g.members)]
		if !accept(m) || !g.fits(t, m) || m.limit(g.share) == 0 || m.warmth.restUntil > now {
			continue
		}
		if cost := g.cost(m, now); best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	return best
}

// cost orders searchers. Baseline compares the queues alone. Current expects
// the completion: one service time while a slot is free, and the queue's part
// of it otherwise.
func (g *group) cost(m *member, now time.Duration) float64 {
	n := float64(m.inflight + m.virtual + 1)
	wait := n / float64(m.limit(g.share))
	if g.policy == catalogue.Baseline {
		return wait
	}
	return (max(1, wait) + loadWeight*n/float64(m.slots())) * m.expected(now, g.median)
}

// hopeless returns the reason why waiting cannot help the task; nil when a
// searcher may serve it later.
func (g *group) hopeless(t *task) *refusal.Error {
	var usable, holding, permitted, warm bool
	for _, m := range g.members {
		if !m.usable() {
			continue
		}
		usable = true
		if m.claimed == "" {
			return nil // The first health answer will tell.
		}
		if !m.holds(t.req.Snapshot()) {
			continue
		}
		holding = true
		if !g.permitted(t, m) {
			continue
		}
		permitted = true
		if t.warmOnly && !m.warmth.warm {
			continue
		}
		if m.limit(g.share) > 0 {
			warm = true
		}
	}
	switch {
	case !usable:
		return refusal.New(refusal.NoSearcher, "no searcher of group %s is usable", g.id)
	case !holding:
		return refusal.New(refusal.SnapshotGone, "group %s does not hold snapshot %d", g.id, t.req.Snapshot())
	case !permitted:
		return refusal.New(refusal.NoSearcher, "group %s has only versions whose share is used up", g.id)
	case !warm:
		return refusal.New(refusal.Cold, "the searchers of group %s are in a cold start, share %s", g.id, g.share)
	}
	return nil
}
