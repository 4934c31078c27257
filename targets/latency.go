package targets

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyStep moves the estimate by 4% per sample; at 100 samples a second
	// the estimate follows a doubled load within half a second.
	latencyStep = 0.04
	// initialLatencyFraction is the initial estimate as a fraction of the
	// route's objective.
	initialLatencyFraction = 0.15
)

// LatencyEstimator estimates the latency of the requests of one route. It
// tracks the median over all targets, which is insensitive to a few slow or
// paused targets. It is safe for concurrent use.
type LatencyEstimator struct {
	mu       sync.Mutex
	median   time.Duration
	observed bool
}

// NewLatencyEstimator returns an estimator for a route with the given
// objective.
func NewLatencyEstimator(objective time.Duration) *LatencyEstimator {
	return &LatencyEstimator{median: max(time.Duration(float64(objective)*initialLatencyFraction), time.Millisecond)}
}

// Median returns the estimated median latency.
func (e *LatencyEstimator) Median() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.median
}

// Observe updates the estimate with the latency of one answer.
func (e *LatencyEstimator) Observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d = max(d, 100*time.Microsecond)
	switch {
	case !e.observed:
		e.median, e.observed = min(d, 4*e.median), true
	case d > e.median:
		e.median = time.Duration(float64(e.median) * math.Exp(latencyStep))
	case d < e.median:
		e.median = time.Duration(float64(e.median) * math.Exp(-latencyStep))
	}
}
