package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleDecay weight histograms towards about the last five
	// minutes, with 99.9% confidence of a 5% error. They are the usual values of
	// go-metrics.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// ObserveValue adds v to the histogram with the given name.
func ObserveValue(name string, v int64) {
	metrics.DefaultRegistry.GetOrRegister(name, newHistogram).(metrics.Histogram).Update(v)
}

// ObserveLatency adds d to the histogram with the given name, in microseconds.
func ObserveLatency(name string, d time.Duration) { ObserveValue(name, d.Microseconds()) }

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// Unregister removes the metric with the given name, for example when a route is
// removed.
func Unregister(name string) { metrics.DefaultRegistry.Unregister(name) }
