package home

import (
	"slices"
	"time"
)

// observe adds the service time of a reply to the estimates.
func (g *group) observe(a *attempt, took, now time.Duration) {
	m := a.m
	if a.first {
		g.service.sketch.add(now, took)
	}
	m.estimate.observe(now, float64(took), g.median)
	g.updateMedian()
	m.warmth.succeed(m.slots(), m.claimed == "cold")
}

// observeAtLeast adds an attempt that was given up, because its losses to hedges
// are what shows that a searcher is slow.
func (g *group) observeAtLeast(a *attempt, took, now time.Duration) {
	if a.first {
		g.service.sketch.add(now, took)
	}
	a.m.estimate.atLeast(now, float64(took), g.median)
	g.updateMedian()
}

// updateMedian computes the lower median of the searchers' estimates, so that
// in a group of two the faster one is the reference.
func (g *group) updateMedian() {
	values := g.scratch[:0]
	for _, m := range g.members {
		if m.estimate.known && !m.removed {
			values = append(values, m.estimate.value)
		}
	}
	g.scratch = values
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	g.median = values[(len(values)-1)/2]
}
