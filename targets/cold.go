package targets

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldMargin keeps the requests to a cold target below its limit, because
// daemons briefly disagree on how many of them share it when one starts or
// stops.
const coldMargin = 0.8

// ColdLimits are the bounds on requests to one cold target over all daemons,
// and this daemon's position among the daemons that share them.
type ColdLimits struct {
	rate     float64
	burst    float64
	daemons  int
	position int
}

// NewColdLimits returns limits of rate requests per second to a cold target
// from all daemons, and of overshoot*rate + slack requests within any one
// second. A rate of 0 means no limit. Position is the index of this daemon
// among the serving daemons, from 0; if it is negative, this daemon sends
// nothing to cold targets.
func NewColdLimits(rate, overshoot, slack float64, daemons, position int) ColdLimits {
	return ColdLimits{rate: rate, burst: (overshoot-coldMargin)*rate + slack, daemons: max(daemons, 1), position: position}
}

// senderCount returns how many daemons may send to one cold target. Each of
// them may send a burst of one request on top of its share of the rate, so
// their number is bounded by the burst allowed.
func (l ColdLimits) senderCount() int {
	return min(l.daemons, max(1, int(coldMargin*l.burst)))
}

// isSender reports whether this daemon may send to the cold target with the
// given ID. The senders are chosen by a hash of the ID, so that each daemon
// gets some of the targets.
func (l ColdLimits) isSender(id string) bool {
	if l.position < 0 {
		return false
	}
	first := int(xxhash.Sum64String(id) % uint64(l.daemons))
	return (l.position-first+l.daemons)%l.daemons < l.senderCount()
}

// share returns this daemon's part of the rate of a cold target that it may
// send to, in requests per second.
func (l ColdLimits) share() float64 { return coldMargin * l.rate / float64(l.senderCount()) }

// coldBucket is a token bucket of size 1 that spaces this daemon's requests to
// a cold target, so that all daemons together stay below the target's rate
// limit.
type coldBucket struct {
	tokens     float64
	refilledAt time.Time
}

// wait returns the time until a request may be sent, 0 if one may be sent now.
func (c *coldBucket) wait(now time.Time, l ColdLimits) time.Duration {
	if c.refilledAt.IsZero() {
		c.refilledAt = now
	}
	c.tokens = math.Min(1, c.tokens+now.Sub(c.refilledAt).Seconds()*l.share())
	c.refilledAt = now
	if c.tokens >= 1 {
		return 0
	}
	return time.Duration(math.Ceil((1 - c.tokens) / l.share() * float64(time.Second)))
}

// spend takes a token for a request that is sent.
func (c *coldBucket) spend(now time.Time, l ColdLimits) {
	if c.wait(now, l) == 0 {
		c.tokens--
	}
}

// checkColdLimit reports whether t is cold and therefore limited, and how long
// a request has to wait; ok is false if this daemon must not send to t.
func (g *Group) checkColdLimit(t *Target, now time.Time) (wait time.Duration, limited, ok bool) {
	if g.coldLimits.rate <= 0 || !now.Before(t.coldUntil) {
		return 0, false, true
	}
	if !g.coldLimits.isSender(t.id) {
		return 0, true, false
	}
	return t.coldBucket.wait(now, g.coldLimits), true, true
}

// scheduleDispatch calls dispatch after d, when a cold target may get another
// request.
func (g *Group) scheduleDispatch(d time.Duration) {
	if g.dispatchScheduled || g.closed {
		return
	}
	g.dispatchScheduled = true
	g.clock.AfterFunc(d, func() {
		g.mu.Lock()
		g.dispatchScheduled = false
		g.unlockAndSend(g.clock.Now())
	})
}
