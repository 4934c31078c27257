package move

import (
	"fmt"

	"medlaryard.example/medlaryard/catalogue"
)

// guardedQuantile is the latency quantile that is compared between versions.
const guardedQuantile = 0.95

// minOldRequests is the minimum number of requests of the old version. With fewer
// its latency and error ratio are too uncertain as a baseline.
const minOldRequests = 50

// Guard compares a new version with the old one by the limits of a move.
type Guard struct {
	maxErrorRatio   float64
	maxLatencyRatio float64
}

// NewGuard returns a Guard with the limits of a declared move.
func NewGuard(m *catalogue.Move) Guard {
	return Guard{maxErrorRatio: m.MaxErrorRatio(), maxLatencyRatio: m.MaxLatencyRatio()}
}

// Fault describes the fault that the samples of a route prove; it is empty if they
// prove none. Both samples must cover the same time.
func (g Guard) Fault(route string, oldSample, newSample *Sample) string {
	if newSample.requests == 0 {
		return ""
	}
	if fault := g.errorFault(route, oldSample, newSample); fault != "" {
		return fault
	}
	return g.latencyFault(route, oldSample, newSample)
}

func (g Guard) errorFault(route string, oldSample, newSample *Sample) string {
	baseline := 0.0
	if oldSample.requests >= minOldRequests {
		baseline = ratioUpperBound(oldSample.requests, oldSample.errors)
	}
	limit := baseline + g.maxErrorRatio
	if !ratioExceeds(newSample.requests, newSample.errors, limit) {
		return ""
	}
	return fmt.Sprintf("route %q: %d errors in %d requests exceed the error ratio limit %.4f", route, newSample.errors, newSample.requests, limit)
}

// latencyFault counts the requests that are slower than the permitted multiple
// of the old version's quantile. In a version within its limit, at most the
// fraction 1-guardedQuantile is that slow, so the comparison of quantiles becomes
// a comparison of ratios.
func (g Guard) latencyFault(route string, oldSample, newSample *Sample) string {
	if g.maxLatencyRatio <= 0 || oldSample.requests < minOldRequests {
		return ""
	}
	limitUs := int64(g.maxLatencyRatio * float64(oldSample.Quantile(guardedQuantile)))
	succeeded := oldSample.requests - oldSample.errors
	baseline := max(1-guardedQuantile, ratioUpperBound(succeeded, oldSample.CountSlower(limitUs)))
	n, k := newSample.requests-newSample.errors, newSample.CountSlower(limitUs)
	if !ratioExceeds(n, min(n, k), baseline) {
		return ""
	}
	return fmt.Sprintf("route %q: %d of %d requests took longer than %d µs, %.1f times the 0.95 quantile of the old version", route, k, n, limitUs, g.maxLatencyRatio)
}
