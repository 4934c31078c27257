package usage

import (
	"slices"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// offsetTTL is how long the wall clock of a silent daemon counts. Daemons are
// forgotten after the same time.
const offsetTTL = 60 * time.Second

// medianInterval is how long a median is used. It is needed for each request, and
// clocks differ by less than this within the time.
const medianInterval = 100 * time.Millisecond

// TrueTime is the median of the wall clocks of all daemons, so that a clock that
// is wrong or jumps has no effect as long as most are right. It is safe for
// concurrent use.
type TrueTime struct {
	clock clock.Clock

	mu       sync.Mutex
	offsets  map[string]offset // By daemon.
	median   time.Duration     // Median of the offsets at medianAt.
	medianAt time.Duration
	compared bool // The median is of several clocks.
}

// offset is the distance of a daemon's wall time since the Unix epoch from this
// daemon's boot time.
type offset struct {
	value   time.Duration
	heardAt time.Duration
}

// NewTrueTime returns a true time that consists of the wall clock of c alone.
func NewTrueTime(c clock.Clock) *TrueTime {
	return &TrueTime{clock: c, offsets: make(map[string]offset)}
}

// Observe records the wall time, since the Unix epoch, that another daemon has
// just stated.
func (t *TrueTime) Observe(daemon string, wall time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Boot()
	t.offsets[daemon] = offset{value: wall - now, heardAt: now}
}

// Now returns the true time since the Unix epoch.
func (t *TrueTime) Now() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	boot := t.clock.Boot()
	if t.medianAt == 0 || boot-t.medianAt >= medianInterval {
		t.median, t.medianAt = t.findMedian(boot), boot
	}
	return boot + t.median
}

// findMedian returns the median of all offsets and removes the old ones. Of an even
// number, each value between the two in the middle is a median; it returns the one
// nearest to the last median, so that one of two clocks that jumps has no effect.
func (t *TrueTime) findMedian(boot time.Duration) time.Duration {
	values := make([]time.Duration, 1, len(t.offsets)+1)
	values[0] = time.Duration(t.clock.Now().UnixNano()) - boot
	for daemon, o := range t.offsets {
		if boot-o.heardAt > offsetTTL {
			delete(t.offsets, daemon)
			continue
		}
		values = append(values, o.value)
	}
	slices.Sort(values)
	n := len(values)
	low, high := values[(n-1)/2], values[n/2]
	previous := low + (high-low)/2
	if t.compared {
		previous = t.median
	}
	t.compared = n > 1
	return min(max(previous, low), high)
}
