package home

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of one outcome in the rate of errors.
	errorWeight = 0.2
	// errorCost times the rate of errors is added to the factor of a searcher's
	// expected service time. A task that fails needs a second send, for which
	// the budget has one token in 20 sub-requests, so that a searcher with 20%
	// errors has to count as several times slower.
	errorCost = 20
)

// errorRate is the part of a searcher's last outcomes that were errors. It is
// kept apart from the latency estimate, which other searchers are compared with.
type errorRate struct {
	value float64
	at    time.Duration
}

// read returns the rate, which decays like the latency estimate, so that a
// searcher that was passed over is tried again.
func (e *errorRate) read(now time.Duration) float64 {
	if e.value == 0 {
		return 0
	}
	return e.value * math.Exp2(-float64(now-e.at)/float64(estimateHalfLife))
}

// observe adds an outcome: 1 for an error, 0 for a reply.
func (e *errorRate) observe(now time.Duration, outcome float64) {
	v := e.read(now)
	*e = errorRate{value: v + errorWeight*(outcome-v), at: now}
}

// expected returns the service time of the searcher for the comparison with
// others, in which errors count like a longer time.
func (m *member) expected(now time.Duration, median float64) float64 {
	return m.estimate.read(now, median) * (1 + errorCost*m.errors.read(now))
}
