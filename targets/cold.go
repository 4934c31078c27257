package targets

import (
	"math"
	"time"
)

// coldMargin keeps the requests to a cold target below what it bears, because
// daemons that start or stop disagree for a moment on how many share it.
const coldMargin = 0.8

// coldLimit spaces the requests that this daemon sends to a cold target. All
// daemons together stay below the rate that the target bears.
type coldLimit struct {
	tokens float64
	filled time.Time
}

// ready reports whether a request may be sent now. Rate is what the target bears
// from all daemons, in requests a second; 0 means no limit.
func (l *coldLimit) ready(now time.Time, rate float64, daemons int) bool {
	if rate <= 0 {
		return true
	}
	if l.filled.IsZero() {
		l.filled = now
	}
	l.tokens = math.Min(1, l.tokens+now.Sub(l.filled).Seconds()*rate*coldMargin/float64(max(daemons, 1)))
	l.filled = now
	return l.tokens >= 1
}

// take accounts for a request that is sent.
func (l *coldLimit) take(now time.Time, rate float64, daemons int) {
	if l.ready(now, rate, daemons) && rate > 0 {
		l.tokens--
	}
}
