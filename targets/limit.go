package targets

import "time"

const (
	// limitOvershoot, limitSlack and limitWindow are what a target bears beyond
	// a limit that it has named: within any window so many times the limit, and
	// so many requests more.
	limitOvershoot = 1.5
	limitSlack     = 5.0
	limitWindow    = 4 * time.Second
	// limitMargin is the fraction of that excess that the daemons use together,
	// because they briefly disagree on their number when one starts or stops.
	limitMargin = 0.5
	// minLimitRate is the rate at which a daemon finds out whether a target that
	// takes almost nothing still names its limit, in requests a second.
	minLimitRate = 0.1
)

// limitExcess returns the number of requests that all daemons together may send
// at once beyond a limit.
func limitExcess(perSecond float64) float64 {
	return limitMargin * ((limitOvershoot-1)*perSecond*limitWindow.Seconds() + limitSlack)
}

// limitSenders returns how many daemons may send to a target with the given
// limit. Each may send a burst of at least one request.
func (d division) limitSenders(perSecond float64) int {
	return max(1, int(min(float64(d.count()), limitExcess(perSecond)))) // An int may not hold the excess itself.
}

// limitRate returns this daemon's part of a limit that a target has named.
func (d division) limitRate(perSecond float64) rate {
	senders := float64(d.limitSenders(perSecond))
	return rate{perSecond: max(perSecond/senders, minLimitRate), burst: max(1, limitExcess(perSecond)/senders)}
}

// allowance is what the limits of a target permit this daemon to send.
type allowance struct {
	permitted bool          // Whether this daemon may send to the target at all.
	limited   bool          // Whether the number of requests is limited.
	tokens    float64       // Number of requests that may be sent now.
	perSecond float64       // Rate of further requests.
	wait      time.Duration // Time until a request may be sent.
}

// permits reports whether a request may be sent within the given time, or now.
func (a allowance) permits(within time.Duration) bool {
	return a.permitted && (a.wait == 0 || a.wait < within)
}

// restrict adds a limit to the allowance.
func (a *allowance) restrict(b *rateBucket, now time.Time, r rate) {
	tokens := b.refill(now, r)
	if !a.limited {
		a.tokens, a.perSecond = tokens, r.perSecond
	}
	a.limited = true
	a.tokens, a.perSecond = min(a.tokens, tokens), min(a.perSecond, r.perSecond)
	if tokens < 1 {
		a.wait = max(a.wait, time.Duration((1-tokens)/r.perSecond*float64(time.Second))+1)
	}
}

// allowance returns what the limits of t permit.
func (g *Group) allowance(t *Target, now time.Time) allowance {
	a := allowance{permitted: true, wait: g.notices.pause(t.fingerprint)}
	if t.doubt != noDoubt {
		a.wait = max(a.wait, probeWait)
	}
	if g.isCold(t, now) {
		a.permitted = g.coldLimits.isSender(t.id, g.coldLimits.senderCount())
		if a.permitted {
			a.restrict(&t.coldBucket, now, g.coldLimits.share())
		}
	}
	if limit, ok := g.notices.limit(t.fingerprint); ok {
		d := g.coldLimits.division
		if !d.isSender(t.id, d.limitSenders(limit)) {
			a.permitted = false
			return a
		}
		a.restrict(&t.limitBucket, now, d.limitRate(limit))
	}
	return a
}

// spendAllowance records that a request is sent to t.
func (g *Group) spendAllowance(t *Target, now time.Time) {
	if g.isCold(t, now) {
		t.coldBucket.spend(now, g.coldLimits.share())
	}
	if limit, ok := g.notices.limit(t.fingerprint); ok {
		t.limitBucket.spend(now, g.coldLimits.limitRate(limit))
	}
}
