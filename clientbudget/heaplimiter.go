package clientbudget

import (
	"context"
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
)

const (
	// maxHeapFraction is the fraction of the VM's memory that the heap, with its
	// garbage, may take before requests that need much memory wait.
	maxHeapFraction = 0.4
	// maxSmallHeapFraction is the same for connections and usual requests.
	maxSmallHeapFraction = 0.5
	// heapStepFraction is the fraction that may be allocated between two collections
	// even if what is in use exceeds the bound, so that requests are always served.
	heapStepFraction = 1.0 / 32
	// minHeapStep is the least value of the same. The largest body fits in it.
	minHeapStep = 2 << 20
	// sampleInterval is the least time between readings of the heap's size.
	sampleInterval = 5 * time.Millisecond
	// maxHeapWait bounds how long a request that needs much memory waits in all. A
	// small allocation waits for one collection at most.
	maxHeapWait = time.Second
)

// heapLimiter delays allocations while the heap is near its bound. The budget counts
// what is in use, but clients that return as soon as they are closed make garbage
// faster than the runtime collects it: it limits its collections to half of the
// processor time, also beyond its soft memory limit.
type heapLimiter struct {
	bound, smallBound, step int64

	clock   clock.Clock
	size    func() int64 // Size of the heap.
	collect func()       // Collects the garbage.

	mu         sync.Mutex
	sampled    int64 // Size of the heap at sampledAt.
	sampledAt  time.Time
	pending    int64         // Admitted and not known to be allocated.
	allocated  int64         // Allocated since sampledAt.
	inUse      int64         // Size of the heap after the last collection.
	restUntil  time.Time     // Until then no further collection begins.
	collection chan struct{} // Closed when the collection that runs has ended; nil if none runs.
}

// newHeapLimiter returns a limiter for a VM with the given memory.
func newHeapLimiter(memory int64, c clock.Clock) *heapLimiter {
	part := func(fraction float64) int64 { return int64(fraction * float64(memory)) }
	return &heapLimiter{
		bound: part(maxHeapFraction), smallBound: part(maxSmallHeapFraction), step: max(part(heapStepFraction), minHeapStep),
		clock: c, size: heapSize, collect: runtime.GC,
	}
}

// wait delays an allocation of n bytes until the heap has room for it. It returns
// false if there is none within the given time; small allocations, those of connections
// and usual requests, are then permitted all the same. It also returns false when cut is
// closed.
func (g *heapLimiter) wait(n int64, small bool, limit time.Duration, cut <-chan struct{}) bool {
	if !small && n > max(g.bound, g.step) {
		return false // There is never room.
	}
	var timeout <-chan time.Time
	for {
		collected := g.admit(n, small)
		if collected == nil {
			return true
		}
		if timeout == nil {
			t := g.clock.NewTimer(limit)
			defer t.Stop()
			timeout = t.C()
		}
		select {
		case <-collected:
			if small {
				g.force(n)
				return true
			}
		case <-cut:
			return false
		case <-timeout:
			if small {
				g.force(n)
			}
			return small
		}
	}
}

// admit takes n bytes and returns nil, or returns a channel that is closed after the
// next collection.
func (g *heapLimiter) admit(n int64, small bool) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.clock.Now(); now.Sub(g.sampledAt) >= sampleInterval || now.Before(g.sampledAt) {
		g.sample(now)
	}
	bound := g.bound
	if small {
		bound = g.smallBound
	}
	if g.sampled+g.allocated+g.pending+n <= max(bound, g.inUse+g.step) {
		g.pending += n
		return nil
	}
	if g.collection == nil {
		g.collection = make(chan struct{})
		go g.runCollection(g.collection)
	}
	return g.collection
}

func (g *heapLimiter) force(n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending += n
}

// done notes that n bytes that were admitted are allocated.
func (g *heapLimiter) done(n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending -= n
	g.allocated += n
}

// sample reads the size of the heap. The caller holds g.mu.
func (g *heapLimiter) sample(now time.Time) {
	g.sampled, g.sampledAt, g.allocated = g.size(), now, 0
}

// runCollection collects the garbage and closes done. At most half of the time is
// spent in collections.
func (g *heapLimiter) runCollection(done chan struct{}) {
	_ = clock.Sleep(context.Background(), g.clock, g.restUntil.Sub(g.clock.Now())) // Never ends early.
	began := g.clock.Now()
	g.collect()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.sample(now)
	g.inUse = g.sampled
	g.restUntil = now.Add(now.Sub(began))
	g.collection = nil
	close(done)
}

// heapMetric is the memory of objects that are in use or not yet collected.
const heapMetric = "/memory/classes/heap/objects:bytes"

func heapSize() int64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
