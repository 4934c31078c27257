package move

import (
	"fmt"

	"medlaryard.example/medlaryard/catalogue"
)

// guardedQuantile is the latency quantile that moves are judged by.
const guardedQuantile = 0.95

// minOld is the number of old requests without which the old version's latency
// and error ratio are too uncertain to compare with.
const minOld = 50

// Guard judges a new version against the old one, by the limits of a move.
type Guard struct {
	maxErrorRatio   float64
	maxLatencyRatio float64
}

// NewGuard returns the Guard of a declared move.
func NewGuard(m *catalogue.Move) Guard {
	return Guard{maxErrorRatio: m.MaxErrorRatio(), maxLatencyRatio: m.MaxLatencyRatio()}
}

// Judge returns the fault that the samples prove, or an empty string. Both
// samples must cover the same time.
func (g Guard) Judge(route string, old, fresh *Sample) string {
	if fresh.requests == 0 {
		return ""
	}
	if fault := g.judgeErrors(route, old, fresh); fault != "" {
		return fault
	}
	return g.judgeLatency(route, old, fresh)
}

func (g Guard) judgeErrors(route string, old, fresh *Sample) string {
	base := 0.0
	if old.requests >= minOld {
		base = upperRatio(old.requests, old.errors)
	}
	limit := base + g.maxErrorRatio
	if !exceeds(fresh.requests, fresh.errors, limit) {
		return ""
	}
	return fmt.Sprintf("route %q: %d errors in %d requests exceed the ratio %.4f", route, fresh.errors, fresh.requests, limit)
}

// judgeLatency counts the requests that are slower than the permitted multiple
// of the old quantile. A version within its limit has at most 1-quantile of
// them, which turns the comparison of quantiles into one of ratios.
func (g Guard) judgeLatency(route string, old, fresh *Sample) string {
	if g.maxLatencyRatio <= 0 || old.requests < minOld {
		return ""
	}
	limitUs := int64(g.maxLatencyRatio * float64(old.Quantile(guardedQuantile)))
	succeeded := old.requests - old.errors
	base := max(1-guardedQuantile, upperRatio(succeeded, old.Slower(limitUs)))
	n, k := fresh.requests-fresh.errors, fresh.Slower(limitUs)
	if !exceeds(n, min(n, k), base) {
		return ""
	}
	return fmt.Sprintf("route %q: %d of %d requests took longer than %d µs, %.1f times the old 0.95 quantile", route, k, n, limitUs, g.maxLatencyRatio)
}
