package meter

import (
	"github.com/rcrowley/go-metrics"

	"medlaryard.example/medlaryard/refusal"
)

// Count adds n to the counter with the given name. Names are lower case and
// separated by dots, for example "home.hedge.sent".
func Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, metrics.DefaultRegistry).Inc(n)
}

// CounterValue returns the value of the counter with the given name.
func CounterValue(name string) int64 {
	return metrics.GetOrRegisterCounter(name, metrics.DefaultRegistry).Count()
}

// Gauge sets the gauge with the given name to v.
func Gauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, metrics.DefaultRegistry).Update(v)
}

// Refused counts a refusal by a component, for example "entry", under its kind.
func Refused(component string, kind refusal.Kind) {
	Count(component+".refused."+string(kind), 1)
}

// Retried counts a retry by a component under its reason.
func Retried(component string, reason refusal.Kind) {
	Count(component+".retried."+string(reason), 1)
}
