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

// atLeast adds an attempt that was given up after elapsed. The remaining time
// is unknown; an equal time again is the expectation for long-tailed service.
// A lower expectation than that cannot be concluded, but the value holds longer.
func (e *estimate) atLeast(now time.Duration, elapsed, median float64) {
	v := e.read(now, median)
	if sample := 2 * elapsed; sample > v {
		e.observe(now, sample, median)
	} else if elapsed > median {
		*e = estimate{value: v, at: now, known: true}
	}
}
