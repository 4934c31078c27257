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
	normal, present, peer := g.reference(m, now)
	m.usual.add(took)
	m.estimate.observe(now, float64(took), g.median)
	m.warmth.suspect(now, took, present, peer)
	m.warmth.succeed(now, took, normal, m.slots(), m.claimed == searcher.Cold)
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
	if _, present, peer := g.reference(a.m, now); took > slowFactor*present {
		// One that was given up sooner might have been fast or slow.
		a.m.warmth.suspect(now, took, present, peer)
	}
	g.updateMedian()
}

// reference returns the latency that is normal for a searcher: that of the
// fastest other one that is not known to be cold, or else the median of the
// service; 0 when unknown. Present is the other one's latency of late where that
// is higher, because then the cause is not the searcher.
func (g *group) reference(m *member, now time.Duration) (normal, present time.Duration, peer bool) {
	var best *member
	for _, o := range g.members {
		if o == m || o.warmth.evident || o.usual.n < usualSamples || o.removed {
			continue
		}
		if best == nil || o.usual.mean < best.usual.mean {
			best = o
		}
	}
	if best == nil {
		_, median := g.service.sketch.read()
		return median, median, false
	}
	normal = time.Duration(best.usual.mean)
	return normal, max(normal, time.Duration(best.estimate.read(now, g.median))), true
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
