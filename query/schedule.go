package query

import (
	"time"

	"medlaryard.example/medlaryard/route"
)

const (
	// hedgeFactor is the hedge delay as a multiple of the median latency. About
	// 5% of the answers of a target that is neither slow nor paused take
	// longer.
	hedgeFactor = 1.8
	// hedgeMargin is added to the hedge delay to allow for network jitter.
	hedgeMargin = time.Millisecond
	// networkMargin covers the transmission of the answer to the caller, and
	// the caller's address lookup and connection setup, at the longest one-way
	// delay of 3 ms.
	networkMargin = 10 * time.Millisecond
	// mergeMargin is the fraction of the objective reserved for merging and
	// writing the answer.
	mergeMargin = 0.05
	// endMargin is how long before the end of the caller's timeout the final
	// answer is returned.
	endMargin = 20 * time.Millisecond
)

// schedule holds the times at which decisions about one request are made.
type schedule struct {
	medianLatency time.Duration // The median latency of the route at a single target.
	hedgeAfter    time.Duration // Time from sending a call to its hedge.
	objective     time.Time     // When an answer must be sent to meet the objective.
	lateLimit     time.Time     // After a missed objective: when an answer is sent although parts are pending.
	end           time.Time     // When the final answer is sent.
}

// newSchedule returns the schedule of a request that arrived at started. The
// caller waits for callerTimeout from then; its first attempt began elapsed
// earlier. Median is the median latency of a single target.
func newSchedule(r *route.Route, started time.Time, callerTimeout, elapsed, median time.Duration) schedule {
	end := requestTimeout(r, callerTimeout)
	margin := networkMargin + time.Duration(mergeMargin*float64(r.Objective()))
	objective := r.Objective() - margin - elapsed
	return schedule{
		medianLatency: median,
		hedgeAfter:    time.Duration(hedgeFactor*float64(median)) + hedgeMargin,
		objective:     started.Add(objective),
		lateLimit:     started.Add(max(objective, 0) + r.Objective()),
		end:           started.Add(max(end-endMargin, end/2)),
	}
}

// requestTimeout returns the time after which a request of r is answered in any
// case.
func requestTimeout(r *route.Route, callerTimeout time.Duration) time.Duration {
	if t := r.Timeout(); t > 0 {
		return min(t, callerTimeout)
	}
	return callerTimeout
}

// progress counts the parts of a sharded request.
type progress struct {
	parts   int // Parts received.
	pending int // Parts with a pending call.
	shards  int
	needed  int // Parts needed for a successful answer.
}

// action is the result of a decision about a request.
type action int

const (
	wait action = iota
	answer
	fail
)

// decide returns whether to answer with the parts received, to wait for more or
// to fail. Once enough parts are received, it waits for the others only until
// the objective or, if the objective is missed, until lateLimit.
func (s schedule) decide(now time.Time, p progress) action {
	enough := p.parts >= p.needed
	switch {
	case p.parts == p.shards:
		return answer
	case enough && p.pending == 0:
		return answer
	case enough && !now.Before(s.objective) && (now.Before(s.objective.Add(timerSlack)) || !now.Before(s.lateLimit)):
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

// timerSlack is how long after the objective an answer with missing parts still
// counts as in time, because timers fire late.
const timerSlack = 10 * time.Millisecond

// nextDecision returns the next time at which the result of decide may change
// without another event.
func (s schedule) nextDecision(now time.Time) time.Time {
	for _, t := range []time.Time{s.objective, s.lateLimit, s.end} {
		if now.Before(t) {
			return t
		}
	}
	return now
}
