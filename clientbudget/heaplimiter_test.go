package clientbudget

import (
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock/clocktest"
)

// limiterFixture is a limiter of a VM with 100 MB whose heap has a given size.
type limiterFixture struct {
	*heapLimiter
	clock       *clocktest.Manual
	heap, inUse int64 // Before and after a collection.
	collections int
}

func newLimiterFixture() *limiterFixture {
	f := &limiterFixture{clock: clocktest.New()}
	f.heapLimiter = newHeapLimiter(100e6, f.clock)
	f.size = func() int64 { return f.heap }
	f.collect = func() {
		f.collections++
		f.heap = f.inUse
	}
	return f
}

// Guards against allocations beyond the bound of clients that return faster than the
// garbage is collected, whether what was admitted is allocated yet or not.
func TestGarbageIsCollectedBeforeMoreIsAllocated(t *testing.T) {
	f := newLimiterFixture()
	f.heap = f.bound - 3<<20
	var got []int
	for range 4 {
		if !f.wait(1<<20, false, maxHeapWait, nil) {
			t.Fatal("an allocation is refused although garbage can be collected")
		}
		got = append(got, f.collections)
	}
	f.done(4 << 20) // The heap is not read again, so these bytes count.
	if !f.wait(f.bound-5<<20, false, maxHeapWait, nil) {
		t.Fatal("an allocation within the bound is refused")
	}
	if diff := cmp.Diff([]int{0, 0, 0, 1}, got); diff != "" {
		t.Errorf("collections before each allocation (-want +got):\n%s", diff)
	}
}

// Guards against a daemon that serves nothing because what is in use exceeds the
// bound, and against garbage without a bound in that case.
func TestAllocationsWhileMuchIsInUse(t *testing.T) {
	f := newLimiterFixture()
	f.heap, f.inUse = 90e6, 90e6
	for i := range 6 {
		if !f.wait(f.step, false, maxHeapWait, nil) {
			t.Fatalf("allocation %d is refused", i)
		}
		f.done(f.step)
		f.heap += f.step
		f.clock.Advance(sampleInterval)
	}
	if f.collections != 6 {
		t.Errorf("%d collections for 6 steps", f.collections)
	}
}

// Guards against usual requests that are refused, or wait for long, because large ones
// take all memory.
func TestSmallAllocationWaitsForOneCollection(t *testing.T) {
	f := newLimiterFixture()
	f.heap, f.inUse = 90e6, 90e6
	f.force(f.step) // Admitted, and never allocated.
	if !f.wait(1<<10, true, maxHeapWait, nil) {
		t.Error("a small allocation is refused")
	}
	done := make(chan bool)
	go func() { done <- f.wait(1<<20, false, maxHeapWait, nil) }()
	for {
		f.clock.Advance(maxHeapWait)
		select {
		case admitted := <-done:
			if admitted {
				t.Error("a large allocation is admitted beyond the bound")
			}
			return
		default:
			runtime.Gosched()
			time.Sleep(time.Millisecond) // Lets the collections run.
		}
	}
}
