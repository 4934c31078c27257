package clientbudget

import (
	"testing"
	"time"
)

// Guards against a request that waits for each piece of its body, and is refused only
// after many times the longest wait.
func TestPiecesOfARequestWaitTogether(t *testing.T) {
	f := newFixture()
	f.heap.size = func() int64 { return f.heap.bound }
	f.heap.collect = func() {}
	f.heap.force(f.heap.step) // Admitted, and never allocated.
	c := f.conn()
	wait := func() <-chan bool {
		admitted := make(chan bool, 1)
		go func() { admitted <- c.waitForHeap(2 * smallBytes) }()
		return admitted
	}
	for first := wait(); len(first) == 0; {
		f.clock.Advance(maxHeapWait / 10)
		time.Sleep(time.Millisecond) // Lets the collections run.
	}
	select {
	case admitted := <-wait(): // The clock stands still.
		if admitted {
			t.Error("a piece is admitted beyond the bound")
		}
	case <-time.After(30 * time.Second):
		t.Error("a further piece waits again")
	}
}
