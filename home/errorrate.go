package home

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of one outcome in the error rate.
	errorWeight = 0.2
	// errorPenalty converts an error rate to an increase of the expected
	// service time: a searcher counts as slower by this factor times its error
	// rate. A failed task needs a second send, and the budget earns one token
	// per 20 sub-requests, so a searcher with 20% errors has to count as
	// several times slower.
	errorPenalty = 20
)

// errorRate is the moving average of a searcher's errors per outcome. It is
// separate from the latency estimate, because other searchers are compared with
// that estimate.
type errorRate struct {
	value float64
	at    time.Duration
}

// current returns the rate at time now. It decays like the latency estimate, so
// that an avoided searcher is tried again.
func (e *errorRate) current(now time.Duration) float64 {
	if e.value == 0 {
		return 0
	}
	return e.value * math.Exp2(-float64(now-e.at)/float64(estimateHalfLife))
}

// observe adds an outcome: 1 for an error, 0 for a reply.
func (e *errorRate) observe(now time.Duration, outcome float64) {
	v := e.current(now)
	*e = errorRate{value: v + errorWeight*(outcome-v), at: now}
}

// expectedLatency returns the searcher's expected service time including the
// penalty for its errors, in nanoseconds. It serves to compare searchers.
func (m *member) expectedLatency(now time.Duration, median float64) float64 {
	return m.latency.current(now, median) * (1 + errorPenalty*m.errors.current(now))
}
