package home

import (
	"container/heap"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// simClock is a simulated clock that runs all timers of a test in order on one
// goroutine.
type simClock struct {
	now    time.Duration
	events eventHeap
	seq    int
}

type event struct {
	c   *simClock
	at  time.Duration
	seq int
	f   func()
	i   int // Index in the heap; -1 when it is not there.
}

func newSimClock() *simClock { return &simClock{now: time.Hour} }

func (c *simClock) Now() time.Time                     { return time.Unix(0, int64(c.now)) }
func (c *simClock) Boot() time.Duration                { return c.now }
func (c *simClock) NewTimer(time.Duration) clock.Timer { panic("package home uses only AfterFunc") }

func (c *simClock) AfterFunc(d time.Duration, f func()) clock.Timer {
	c.seq++
	e := &event{c: c, at: c.now + max(d, 0), seq: c.seq, f: f}
	heap.Push(&c.events, e)
	return e
}

// run executes the events of the next d.
func (c *simClock) run(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(*event)
		c.now = e.at
		e.f()
	}
	c.now = end
}

func (e *event) C() <-chan time.Time      { return nil }
func (e *event) Reset(time.Duration) bool { panic("package home does not reset timers") }

func (e *event) Stop() bool {
	if e.i < 0 {
		return false
	}
	heap.Remove(&e.c.events, e.i)
	return true
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h eventHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i, j
}

func (h *eventHeap) Push(x any) {
	e := x.(*event)
	e.i = len(*h)
	*h = append(*h, e)
}

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.i = -1
	return e
}
