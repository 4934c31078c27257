package home

import (
	"slices"
	"time"

	"medlaryard.example/medlaryard/searcher"
)

// observeReply adds the service time of a reply to the estimates.
func (g *group) observeReply(a *attempt, took, now time.Duration) {
	m := a.member
	if a.firstSend {
		g.service.latency.add(now, took)
	}
	normal, recent, peer := g.referenceLatency(m, now)
	m.meanLatency.add(took)
	m.latency.observe(now, float64(took), g.medianLatency)
	m.warmup.detectColdStart(now, took, recent, peer)
	m.warmup.recordReply(now, took, normal, m.slots(), m.reportedState == searcher.Cold)
	g.updateMedian()
}

// observeAbandoned adds an attempt that was abandoned after took. Attempts that
// lose to hedges are the evidence that a searcher is slow.
func (g *group) observeAbandoned(a *attempt, took, now time.Duration) {
	if a.firstSend {
		g.service.latency.add(now, took)
	}
	a.member.latency.observeAbandoned(now, float64(took), g.medianLatency)
	a.member.warmup.recordAbandoned(took)
	if _, recent, peer := g.referenceLatency(a.member, now); took > slowLatencyFactor*recent {
		// An attempt abandoned sooner says nothing about the searcher's speed.
		a.member.warmup.detectColdStart(now, took, recent, peer)
	}
	g.updateMedian()
}

// referenceLatency returns the latency that a searcher is compared with. normal
// is the mean latency of the fastest other searcher that is not known to be
// cold. recent is the higher of normal and the current estimate of that other
// searcher: if both searchers are slow, the cause is not the searcher itself.
// peer reports whether such a searcher exists; if not, normal and recent are the
// service's median, or 0 when that is unknown.
func (g *group) referenceLatency(m *member, now time.Duration) (normal, recent time.Duration, peer bool) {
	var best *member
	for _, o := range g.members {
		if o == m || o.warmup.knownCold || o.meanLatency.n < meanLatencySamples || o.removed {
			continue
		}
		if best == nil || o.meanLatency.mean < best.meanLatency.mean {
			best = o
		}
	}
	if best == nil {
		_, median := g.service.latency.quantiles()
		return median, median, false
	}
	normal = time.Duration(best.meanLatency.mean)
	return normal, max(normal, time.Duration(best.latency.current(now, g.medianLatency))), true
}

// updateMedian computes the lower median of the searchers' estimates, so that
// in a group of two the faster one is the reference.
func (g *group) updateMedian() {
	values := g.scratch[:0]
	for _, m := range g.members {
		if m.latency.known && !m.removed {
			values = append(values, m.latency.value)
		}
	}
	g.scratch = values
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	g.medianLatency = values[(len(values)-1)/2]
}
