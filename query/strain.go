package query

import (
	"time"
)

// strainedPatience is how many expected times a part may take that was asked of a
// strained shard. The expectation does not include what other daemons send.
const strainedPatience = 1.5

// strain finds the shards that would probably not answer in time, because all
// their targets are slow, silent or busy. If more are strained than may be
// missing, it defers those with requests under way at each target: when every
// request goes to all of them, their targets answer none in time, while a request
// needs only as many of them as make its coverage.
func (r *run) strain(parts []*part, needed int, now time.Time) {
	limit := r.objective.Sub(now)
	if limit <= 0 {
		limit = r.route.Objective() // It is late already and may take as long again.
	}
	strained := 0
	for _, p := range parts {
		if o := p.outlook; o.Available() && o.Latency() > limit {
			p.expected, p.deferred = o.Latency(), !o.HasIdleTarget()
			strained++
		}
	}
	if strained > len(parts)-needed {
		return
	}
	for _, p := range parts {
		p.expected, p.deferred = 0, false
	}
}

// release sends deferred parts, the most promising first, while those that are in
// or under way are too few.
func (r *run) release(parts []*part, needed int, now time.Time) {
	if r.suspect > 0 {
		return
	}
	for missing := needed - r.promising(parts, now); missing > 0; {
		i := mostPromising(parts)
		if i < 0 {
			return
		}
		parts[i].deferred = false
		if r.attempt(parts[i], i, now, false) {
			missing--
		}
	}
}

// promising counts the parts that are in or may be expected. One that has taken
// longer than it should is not.
func (r *run) promising(parts []*part, now time.Time) int {
	n := 0
	for _, p := range parts {
		if p.answer != nil || p.open > 0 && now.Sub(p.tried) <= r.patienceWith(p) {
			n++
		}
	}
	return n
}

// mostPromising returns the deferred part with the least expected time, or -1.
func mostPromising(parts []*part) int {
	best := -1
	for i, p := range parts {
		if p.deferred && (best < 0 || p.expected < parts[best].expected) {
			best = i
		}
	}
	return best
}
