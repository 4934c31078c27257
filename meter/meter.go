package meter

import (
	"github.com/rcrowley/go-metrics"

	"medlaryard.example/medlaryard/refusal"
)

// Count adds n to the counter of that name. Names are dotted lower case, for
// example "home.hedge.sent".
func Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, metrics.DefaultRegistry).Inc(n)
}

// Value returns the counter of that name.
func Value(name string) int64 {
	return metrics.GetOrRegisterCounter(name, metrics.DefaultRegistry).Count()
}

// Gauge sets the gauge of that name.
func Gauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, metrics.DefaultRegistry).Update(v)
}

// Refused counts a refusal given by a component, for example "entry".
func Refused(component string, kind refusal.Kind) {
	Count(component+".refused."+string(kind), 1)
}

// Retried counts a retry sent by a component with its reason.
func Retried(component string, reason refusal.Kind) {
	Count(component+".retried."+string(reason), 1)
}
