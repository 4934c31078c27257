package targets

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldMargin keeps the requests to a cold target below what it bears, because
// daemons that start or stop disagree for a moment on how many share it.
const coldMargin = 0.8

// ColdLimits are the bounds on requests to one cold target over all daemons, and
// this daemon's place among those that divide them.
type ColdLimits struct {
	rate     float64
	burst    float64
	daemons  int
	position int
}

// NewColdLimits lets a cold target get rate requests a second from all daemons
// and, within one second, up to overshoot times that and slack more. A rate of 0
// means no limit. Position is this daemon's place among the daemons that serve,
// from 0; a negative one means that it has no part.
func NewColdLimits(rate, overshoot, slack float64, daemons, position int) ColdLimits {
	return ColdLimits{rate: rate, burst: (overshoot-coldMargin)*rate + slack, daemons: max(daemons, 1), position: position}
}

// holders is how many daemons use one cold target. Each of them may send one
// request at once beside its part of the rate, which bounds their number.
func (l ColdLimits) holders() int {
	return min(l.daemons, max(1, int(coldMargin*l.burst)))
}

// holds reports whether this daemon is one of those that use the cold target of
// that identity. Targets differ in their holders, so that each daemon has some.
func (l ColdLimits) holds(id string) bool {
	if l.position < 0 {
		return false
	}
	first := int(xxhash.Sum64String(id) % uint64(l.daemons))
	return (l.position-first+l.daemons)%l.daemons < l.holders()
}

// share is this daemon's part of the rate of a target that it uses, in requests
// a second.
func (l ColdLimits) share() float64 { return coldMargin * l.rate / float64(l.holders()) }

// coldLimit spaces the requests that this daemon sends to a cold target. All
// daemons together stay below the rate that the target bears.
type coldLimit struct {
	tokens float64
	filled time.Time
}

// wait returns how long it takes until a request may be sent, 0 if one may be
// sent now.
func (c *coldLimit) wait(now time.Time, l ColdLimits) time.Duration {
	if c.filled.IsZero() {
		c.filled = now
	}
	c.tokens = math.Min(1, c.tokens+now.Sub(c.filled).Seconds()*l.share())
	c.filled = now
	if c.tokens >= 1 {
		return 0
	}
	return time.Duration(math.Ceil((1 - c.tokens) / l.share() * float64(time.Second)))
}

// take accounts for a request that is sent.
func (c *coldLimit) take(now time.Time, l ColdLimits) {
	if c.wait(now, l) == 0 {
		c.tokens--
	}
}

// coldFor reports whether a limit holds for t because it is cold, and how long a
// request has to wait for it; ok is false if this daemon has no part in t.
func (g *Group) coldFor(t *Target, now time.Time) (wait time.Duration, limited, ok bool) {
	if g.cold.rate <= 0 || !now.Before(t.coldTill) {
		return 0, false, true
	}
	if !g.cold.holds(t.id) {
		return 0, true, false
	}
	return t.cold.wait(now, g.cold), true, true
}

// wake dispatches again after d, when a cold target may take another request.
func (g *Group) wake(d time.Duration) {
	if g.waking || g.closed {
		return
	}
	g.waking = true
	g.clock.AfterFunc(d, func() {
		g.mu.Lock()
		g.waking = false
		g.unlockAndSend(g.clock.Now())
	})
}
