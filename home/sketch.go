package home

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// sketchWindow is the age at which a latency starts to be forgotten.
	sketchWindow = 5 * time.Second
	// sketchMinimum is the number of latencies below which no quantile is given.
	sketchMinimum = 100
	// sketchRefresh is the number of latencies between two computations of the quantiles.
	sketchRefresh = 64

	lowestLatency  = 1 // Microseconds.
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range, so that no error is possible.
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), lowestLatency), highestLatency))
}

// sketch holds the latencies of one service in the last one to two windows. It
// is safe for concurrent use.
type sketch struct {
	mu       sync.Mutex
	now, old *hdrhistogram.Histogram
	all      *hdrhistogram.Histogram // Both together, when last computed.
	since    time.Duration
	fresh    int
	quantile float64
	high     time.Duration
	median   time.Duration
}

func newSketch(quantile float64) *sketch {
	return &sketch{now: newHistogram(), old: newHistogram(), all: newHistogram(), quantile: quantile}
}

func (s *sketch) setQuantile(q float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quantile = q
}

func (s *sketch) add(now, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.since > sketchWindow {
		s.since = now
		s.now, s.old = s.old, s.now
		s.now.Reset()
	}
	record(s.now, latency)
	if s.fresh++; s.fresh >= sketchRefresh {
		s.refreshLocked()
	}
}

func (s *sketch) refreshLocked() {
	n := s.now.TotalCount() + s.old.TotalCount()
	if n < sketchMinimum {
		return
	}
	s.fresh = 0
	s.all.Reset()
	s.all.Merge(s.now)
	s.all.Merge(s.old)
	const percent = 100
	s.high = time.Duration(s.all.ValueAtQuantile(s.quantile*percent)) * time.Microsecond
	s.median = time.Duration(s.all.ValueAtQuantile(percent/2)) * time.Microsecond
}

// read returns the configured quantile and the median; zeros until enough
// latencies were added.
func (s *sketch) read() (high, median time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.high, s.median
}
