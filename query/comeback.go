package query

import (
	"math/rand/v2"
	"time"
)

const (
	// soonestReturn is when a lost connection to a target is usually there again.
	soonestReturn = 150 * time.Millisecond
	// soonSpread keeps callers that were refused together from returning together.
	soonSpread = 100 * time.Millisecond
	// longestReturn is the part of its remaining time that a caller waits at most
	// before it comes back.
	longestReturn = 1.0 / 3
	// lateSpread is the part of that time over which late callers are spread.
	lateSpread = 0.3
)

// comeBack returns when a caller should come back whose request no target could
// take. If the answer can still be in time then, it is soon. Otherwise the answer
// is late in any case, and the longer the caller waits, the more probable it is
// that targets are back; callers have few attempts.
func (s schedule) comeBack(now time.Time) time.Duration {
	soon := soonestReturn + rand.N(soonSpread)
	if now.Add(soon + s.usual).Before(s.objective) {
		return soon
	}
	longest := longestReturn * float64(s.end.Sub(now))
	return time.Duration(longest * (1 - lateSpread*rand.Float64()))
}
