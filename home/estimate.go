package home

import (
	"math"
	"time"
)

const (
	// estimateHalfLife makes a recovered searcher usable again well within the
	// 10 s in which tail latency has to be back to normal.
	estimateHalfLife = 5 * time.Second
	// estimateWeight is the weight of one sample; a searcher that turns ten
	// times slower is passed over after its first slow replies.
	estimateWeight = 0.2
)

// estimate is the expected service time of one searcher in nanoseconds.
type estimate struct {
	value float64
	at    time.Duration
	known bool
}

// read returns the estimate, which moves to the median while no sample comes.
func (e *estimate) read(now time.Duration, median float64) float64 {
	if !e.known {
		return median
	}
	if age := now - e.at; age > 0 {
		return median + (e.value-median)*math.Exp2(-float64(age)/float64(estimateHalfLife))
	}
	return e.value
}

// observe adds the service time of a completed attempt. The part of the value
// that has decayed to the median gives way to the sample entirely, so that one
// slow reply after a pause shows that the searcher has not recovered.
func (e *estimate) observe(now time.Duration, sample, median float64) {
	v, weight := e.value, 1.0
	if e.known {
		weight = 1 - (1-estimateWeight)*math.Exp2(-float64(now-e.at)/float64(estimateHalfLife))
	} else {
		v = median
	}
	*e = estimate{value: v + weight*(sample-v), at: now, known: true}
}

// givenUpFactor times the age of an attempt that was given up is its expected
// service time. An attempt loses to a hedge at two to three times the median,
// when a searcher ten times slower has run a third of its time or less.
const givenUpFactor = 3

// atLeast adds an attempt that was given up after elapsed. A lower expectation
// than the present one cannot be concluded from it, but the value holds longer.
func (e *estimate) atLeast(now time.Duration, elapsed, median float64) {
	v := e.read(now, median)
	if sample := givenUpFactor * elapsed; sample > v {
		e.observe(now, sample, median)
	} else if elapsed > median {
		*e = estimate{value: v, at: now, known: true}
	}
}
