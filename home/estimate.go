package home

import (
	"math"
	"time"
)

const (
	// estimateHalfLife lets a recovered searcher receive requests again well
	// within the 10 s in which the tail latency has to be back to normal.
	estimateHalfLife = 5 * time.Second
	// estimateWeight is the weight of one sample. A searcher that becomes ten
	// times slower is avoided after its first slow replies.
	estimateWeight = 0.2
)

// latencyEstimate is the expected service time of one searcher, in nanoseconds.
// It is a moving average that decays towards the median of the group.
type latencyEstimate struct {
	value float64
	at    time.Duration
	known bool
}

// current returns the estimate at time now. Without new samples it decays
// towards the median.
func (e *latencyEstimate) current(now time.Duration, median float64) float64 {
	if !e.known {
		return median
	}
	if age := now - e.at; age > 0 {
		return median + (e.value-median)*math.Exp2(-float64(age)/float64(estimateHalfLife))
	}
	return e.value
}

// observe adds the service time of a completed attempt. The sample fully
// replaces the part of the value that has decayed to the median, so one slow
// reply after a pause is enough to show that the searcher has not recovered.
func (e *latencyEstimate) observe(now time.Duration, sample, median float64) {
	v, weight := e.value, 1.0
	if e.known {
		weight = 1 - (1-estimateWeight)*math.Exp2(-float64(now-e.at)/float64(estimateHalfLife))
	} else {
		v = median
	}
	*e = latencyEstimate{value: v + weight*(sample-v), at: now, known: true}
}

// abandonedFactor is the ratio of the assumed service time to the age of an
// abandoned attempt. An attempt loses to a hedge at two to three times the
// median; a searcher that is ten times slower has then run at most a third of
// its service time.
const abandonedFactor = 3

// observeAbandoned adds an attempt that was abandoned after elapsed. Such an
// attempt never lowers the estimate. If it ran longer than the median, it
// refreshes the time of the value, so that the next sample has less weight.
func (e *latencyEstimate) observeAbandoned(now time.Duration, elapsed, median float64) {
	v := e.current(now, median)
	if sample := abandonedFactor * elapsed; sample > v {
		e.observe(now, sample, median)
	} else if elapsed > median {
		*e = latencyEstimate{value: v, at: now, known: true}
	}
}
