package query

import (
	"time"
)

// slowPartHedgeFactor is the hedge delay of a part at a slow shard as a
// multiple of its expected latency, which does not include the load from other
// daemons.
const slowPartHedgeFactor = 1.5

// deferSlowParts finds the shards that would probably miss the objective
// because all their targets are slow, silent or busy. If more shards are slow
// than may be missing, it defers the parts of those without an idle target. If
// every request went to all slow shards, none would be answered in time; yet a
// request needs only some of these shards to reach its coverage.
func (r *run) deferSlowParts(parts []*part, needed int, now time.Time) {
	limit := r.objective.Sub(now)
	if limit <= 0 {
		limit = r.route.Objective() // The objective is missed; allow the same time again.
	}
	slow := 0
	for _, p := range parts {
		if e := p.estimate; e.Available() && e.Latency() > limit {
			p.expectedLatency, p.deferred = e.Latency(), !e.HasIdleTarget()
			slow++
		}
	}
	if slow > len(parts)-needed {
		return
	}
	for _, p := range parts {
		p.expectedLatency, p.deferred = 0, false
	}
}

// deferLimitedParts defers the parts of shards whose targets take the request
// only after the objective, according to their limits.
func deferLimitedParts(parts []*part) {
	for _, p := range parts {
		if e := p.estimate; !e.SendsInTime() && (e.Available() || e.Wait() > 0) {
			p.expectedLatency, p.deferred = max(p.expectedLatency, e.Wait()), true
		}
	}
}

// sendDeferred sends deferred parts, the one with the lowest expected latency
// first, while there are too few parts received or expected on time.
func (r *run) sendDeferred(parts []*part, needed int, now time.Time) {
	if r.solo {
		return
	}
	for missing := needed - r.countOnTime(parts, now); missing > 0; {
		i := fastestDeferred(parts)
		if i < 0 {
			return
		}
		parts[i].deferred = false
		if r.attempt(parts[i], i, now, false) {
			missing--
		}
	}
}

// countOnTime counts the parts that were received or are pending within their
// hedge delay.
func (r *run) countOnTime(parts []*part, now time.Time) int {
	n := 0
	for _, p := range parts {
		if p.answer != nil || p.pending > 0 && now.Sub(p.lastAttempt) <= r.hedgeDelay(p) {
			n++
		}
	}
	return n
}

// fastestDeferred returns the index of the deferred part with the lowest
// expected latency, or -1.
func fastestDeferred(parts []*part) int {
	best := -1
	for i, p := range parts {
		if p.deferred && (best < 0 || p.expectedLatency < parts[best].expectedLatency) {
			best = i
		}
	}
	return best
}
