package cost

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxServiceTime bounds the values of a histogram.
	maxServiceTime = time.Minute
	// significantDigits makes a histogram exact to about 6%, in 3.6 KB.
	significantDigits = 1
	// priorSamples is the number of samples that the prior of a kind counts as.
	priorSamples = 8.0
	// maxSamples is the number of samples at which all counts are halved, so that
	// the distribution follows changes of the targets.
	maxSamples = 512
	// exactSamples is the number of samples up to which each one renews the
	// prediction; later every refreshInterval-th does, since renewing reads the
	// whole histogram.
	exactSamples    = 16
	refreshInterval = 16
)

// Kind holds the service times of requests that look alike.
type Kind struct {
	parent  *Kind       // A less specific kind, or nil.
	initial *Prediction // Without a parent.
	usedAt  uint64      // Number of the last use. The lock of the route guards it.
	current atomic.Pointer[Prediction]

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // Of microseconds; nil before the first sample.
	unread    int                     // Samples since the prediction was renewed.
	halvings  int
}

func (k *Kind) prior() *Prediction {
	if k.parent == nil {
		return k.initial
	}
	return k.parent.Predict()
}

// Predict returns the prediction for the next request.
func (k *Kind) Predict() *Prediction {
	if p := k.current.Load(); p != nil {
		return p
	}
	return k.prior()
}

// Observe records the service time of a request, for its kind and the less specific ones.
func (k *Kind) Observe(d time.Duration) {
	if k.parent != nil {
		k.parent.Observe(d)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.histogram == nil {
		k.histogram = hdrhistogram.New(1, maxServiceTime.Microseconds(), significantDigits)
	}
	_ = k.histogram.RecordValue(min(max(d, time.Microsecond), maxServiceTime).Microseconds()) // The value is within the bounds.
	k.unread++
	n := k.histogram.TotalCount()
	if n > exactSamples && k.unread < refreshInterval {
		return
	}
	k.unread = 0
	if n >= maxSamples {
		k.halve()
	}
	var own [points]time.Duration
	for i := range own {
		own[i] = max(time.Duration(k.histogram.ValueAtQuantile(100*probability(i)))*time.Microsecond, time.Microsecond)
	}
	k.current.Store(blend(own, float64(k.histogram.TotalCount()), k.prior()))
}

// halve halves all counts. Odd ones are rounded up in every other halving, so that
// rare values neither vanish at once nor stay for ever.
func (k *Kind) halve() {
	k.halvings++
	s := k.histogram.Export()
	for i := range s.Counts {
		s.Counts[i] = (s.Counts[i] + int64((i+k.halvings)%2)) / 2
	}
	k.histogram = hdrhistogram.Import(s)
}
