package home

import (
	"slices"
	"time"

	"medlaryard.example/medlaryard/searcher"
)

// observe adds the service time of a reply to the estimates.
func (g *group) observe(a *attempt, took, now time.Duration) {
	m := a.m
	if a.first {
		g.service.sketch.add(now, took)
	}
	reference, peer := g.reference(m)
	m.usual.add(took)
	m.estimate.observe(now, float64(took), g.median)
	m.warmth.suspect(now, took, time.Duration(m.estimate.value), reference, peer)
	m.warmth.succeed(now, took, reference, m.slots(), m.claimed == searcher.Cold)
	g.updateMedian()
}

// observeAtLeast adds an attempt that was given up, because its losses to hedges
// are what shows that a searcher is slow.
func (g *group) observeAtLeast(a *attempt, took, now time.Duration) {
	if a.first {
		g.service.sketch.add(now, took)
	}
	a.m.estimate.atLeast(now, float64(took), g.median)
	a.m.warmth.giveUp(took)
	reference, peer := g.reference(a.m)
	a.m.warmth.suspect(now, took, time.Duration(a.m.estimate.value), reference, peer)
	g.updateMedian()
}

// reference returns the latency that is normal for a searcher: that of the
// fastest other one that is not known to be cold, or else the median of the
// service; 0 when unknown.
func (g *group) reference(m *member) (latency time.Duration, peer bool) {
	lowest := 0.0
	for _, o := range g.members {
		if o == m || o.warmth.evident || o.usual.n < usualSamples || o.removed {
			continue
		}
		if lowest == 0 || o.usual.mean < lowest {
			lowest = o.usual.mean
		}
	}
	if lowest > 0 {
		return time.Duration(lowest), true
	}
	_, median := g.service.sketch.read()
	return median, false
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
