package home

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyWindowLength is the length of one window. A latency is discarded
	// one to two windows after it was added.
	latencyWindowLength = 5 * time.Second
	// minLatencySamples is the number of latencies needed to compute a
	// quantile.
	minLatencySamples = 100
	// latencyRefreshCount is the number of added latencies after which the
	// quantiles are computed again.
	latencyRefreshCount = 64

	lowestLatency  = 1 // Microseconds.
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so no error can
	// occur.
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), lowestLatency), highestLatency))
}

// latencyWindow holds the latencies of one service from the current and the
// previous window. It is safe for concurrent use.
type latencyWindow struct {
	mu                sync.Mutex
	current, previous *hdrhistogram.Histogram
	merged            *hdrhistogram.Histogram // Sum of both at the last refresh.
	windowStart       time.Duration
	unmerged          int
	quantile          float64
	quantileLatency   time.Duration
	median            time.Duration
}

func newLatencyWindow(quantile float64) *latencyWindow {
	return &latencyWindow{current: newHistogram(), previous: newHistogram(), merged: newHistogram(), quantile: quantile}
}

func (w *latencyWindow) setQuantile(q float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quantile = q
}

func (w *latencyWindow) add(now, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now-w.windowStart > latencyWindowLength {
		w.windowStart = now
		w.current, w.previous = w.previous, w.current
		w.current.Reset()
	}
	recordLatency(w.current, latency)
	if w.unmerged++; w.unmerged >= latencyRefreshCount {
		w.refreshLocked()
	}
}

func (w *latencyWindow) refreshLocked() {
	n := w.current.TotalCount() + w.previous.TotalCount()
	if n < minLatencySamples {
		return
	}
	w.unmerged = 0
	w.merged.Reset()
	w.merged.Merge(w.current)
	w.merged.Merge(w.previous)
	const percent = 100
	w.quantileLatency = time.Duration(w.merged.ValueAtQuantile(w.quantile*percent)) * time.Microsecond
	w.median = time.Duration(w.merged.ValueAtQuantile(percent/2)) * time.Microsecond
}

// quantiles returns the latency at the configured quantile and the median. Both
// are 0 until enough latencies were added.
func (w *latencyWindow) quantiles() (high, median time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quantileLatency, w.median
}
