package targets

import (
	"math"
	"time"
)

// rate is this daemon's part of a limit on the requests to one target.
type rate struct {
	perSecond float64
	burst     float64 // Number of requests that may be sent at once, at least 1.
}

// rateBucket is a token bucket that spaces this daemon's requests to a target,
// so that all daemons together stay below the target's limit.
type rateBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens earned since the last call and returns their number. A
// new bucket is empty.
func (b *rateBucket) refill(now time.Time, r rate) float64 {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	b.tokens = math.Min(r.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*r.perSecond)
	b.refilledAt = now
	return b.tokens
}

// spend takes a token, if there is one, for a request that is sent.
func (b *rateBucket) spend(now time.Time, r rate) {
	if b.refill(now, r) >= 1 {
		b.tokens--
	}
}
