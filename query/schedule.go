package query

import (
	"time"

	"medlaryard.example/medlaryard/route"
)

const (
	// hedgeFactor is after how many usual latencies a request goes to a second
	// target. About 5% of the answers of a target that is neither slow nor
	// paused take longer.
	hedgeFactor = 1.8
	// hedgeFloor is the least difference that is not due to the network.
	hedgeFloor = time.Millisecond
	// wayMargin covers the way of an answer to the caller, and the caller's
	// question for addresses and new connection, at the longest distance of 3 ms
	// one way.
	wayMargin = 10 * time.Millisecond
	// workMargin is the part of the objective kept for merging and writing.
	workMargin = 0.05
	// endMargin is how long before the caller leaves its final answer is given.
	endMargin = 20 * time.Millisecond
)

// schedule holds the times that govern one request.
type schedule struct {
	usual      time.Duration // The latency of one target.
	hedgeAfter time.Duration // From sending to the second target.
	objective  time.Time     // When an answer should leave to be in time.
	late       time.Time     // When an answer that missed the objective leaves without its missing parts.
	end        time.Time     // When the final answer leaves.
}

// newSchedule plans a request that arrived at started. The caller waits for
// patience from then and began its first attempt elapsed earlier. Median is the
// usual latency of one target.
func newSchedule(r *route.Route, started time.Time, patience, elapsed, median time.Duration) schedule {
	end := patience
	if t := r.Timeout(); t > 0 && t < end {
		end = t
	}
	margin := wayMargin + time.Duration(workMargin*float64(r.Objective()))
	objective := r.Objective() - margin - elapsed
	return schedule{
		usual:      median,
		hedgeAfter: time.Duration(hedgeFactor*float64(median)) + hedgeFloor,
		objective:  started.Add(objective),
		late:       started.Add(max(objective, 0) + r.Objective()),
		end:        started.Add(max(end-endMargin, end/2)),
	}
}

// progress is how far a sharded request has come.
type progress struct {
	parts   int // Parts that are in.
	pending int // Parts that may still come.
	shards  int
	needed  int // Parts that a success needs.
}

// verdict is what to do with a request now.
type verdict int

const (
	wait verdict = iota
	answer
	fail
)

// judge decides whether to answer with the parts that are in. Waiting for a
// part is worth more than the part only until the objective.
func (s schedule) judge(now time.Time, p progress) verdict {
	enough := p.parts >= p.needed
	switch {
	case p.parts == p.shards:
		return answer
	case enough && p.pending == 0:
		return answer
	case enough && !now.Before(s.objective) && (now.Before(s.objective.Add(lateSlack)) || !now.Before(s.late)):
		return answer
	case !now.Before(s.end):
		if enough {
			return answer
		}
		return fail
	case !enough && p.pending == 0 && !now.Before(s.objective):
		return fail
	}
	return wait
}

// lateSlack is how long after the objective an answer with missing parts is
// still given as one that met it; timers fire late.
const lateSlack = 10 * time.Millisecond

// next returns when judge may change its mind without another event.
func (s schedule) next(now time.Time) time.Time {
	for _, t := range []time.Time{s.objective, s.late, s.end} {
		if now.Before(t) {
			return t
		}
	}
	return now
}
