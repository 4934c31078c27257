package targets

import "time"

// coldMargin keeps the requests to a cold target below its limit, because
// daemons briefly disagree on how many of them share it when one starts or
// stops.
const coldMargin = 0.8

// ColdLimits are the bounds on requests to one cold target over all daemons,
// and this daemon's position among the daemons that share the limits of
// targets.
type ColdLimits struct {
	division
	rate   float64
	burst  float64
	warmUp time.Duration // How long a target is cold after its start.
	probe  string        // Path at which a target states how long it is cold; empty if none is known.
}

// NewColdLimits returns limits of rate requests per second to a cold target
// from all daemons, and of overshoot*rate + slack requests within any one
// second. A rate of 0 means no limit. Position is the index of this daemon
// among the serving daemons, from 0; if it is negative, this daemon sends
// nothing to cold targets and to those that have named a limit.
func NewColdLimits(rate, overshoot, slack float64, daemons, position int) ColdLimits {
	return ColdLimits{division: newDivision(daemons, position), rate: rate, burst: (overshoot-coldMargin)*rate + slack}
}

// WarmUp returns the limits for targets that are cold for d after their start, and
// that state at the path probe how long they still are.
func (l ColdLimits) WarmUp(d time.Duration, probe string) ColdLimits {
	l.warmUp, l.probe = d, probe
	return l
}

// senderCount returns how many daemons may send to one cold target. Each of
// them may send a burst of one request on top of its share of the rate, so
// their number is bounded by the burst allowed.
func (l ColdLimits) senderCount() int {
	return min(l.count(), max(1, int(coldMargin*l.burst)))
}

// share returns this daemon's part of the rate of a cold target that it may
// send to.
func (l ColdLimits) share() rate {
	return rate{perSecond: coldMargin * l.rate / float64(l.senderCount()), burst: 1}
}

// isCold reports whether t is cold, by its entry or because it has restarted, and
// therefore limited.
func (g *Group) isCold(t *Target, now time.Time) bool {
	return g.coldLimits.rate > 0 && (now.Before(t.coldUntil) || g.notices.coldFor(t.fingerprint) > 0)
}
