package targets

import "math"

const (
	// ratioMargin keeps the earned sends below the ratio, because an extra send
	// may fall into a later window than the request that earned it.
	ratioMargin = 0.8
	// slackMargin keeps the sum of all buckets below the slack. Daemons that
	// start, stop or take over have buckets too, so there may be 50% more
	// buckets than serving daemons.
	slackMargin = 0.55
	// hedgeReserve is the fraction of the bucket that hedges must not use.
	hedgeReserve = 0.25
)

// budget bounds this daemon's extra sends to one service. It is a token bucket
// that gains a fraction of a token for each request and holds at most this
// daemon's part of the slack. The caller holds the group's lock.
type budget struct {
	tokens float64
	limits BudgetLimits
}

// BudgetLimits are the bounds on extra sends to one service over all daemons.
type BudgetLimits struct {
	ratio   float64
	slack   float64
	daemons int
}

// NewBudgetLimits returns limits of ratio extra sends for each request plus
// slack extra sends in each window, summed over the given number of daemons.
func NewBudgetLimits(ratio, slack float64, daemons int) BudgetLimits {
	return BudgetLimits{ratio: ratio, slack: slack, daemons: max(daemons, 1)}
}

// capacity returns the maximum number of tokens.
func (l BudgetLimits) capacity() float64 {
	return math.Max(1, slackMargin*l.slack/float64(l.daemons))
}

// configure applies new limits. A new bucket starts half full, so that daemon
// restarts do not multiply the slack.
func (b *budget) configure(l BudgetLimits) {
	if b.limits.daemons == 0 {
		b.tokens = l.capacity() / 2
	}
	b.limits = l
	b.tokens = math.Min(b.tokens, l.capacity())
}

func (b *budget) earn() {
	b.tokens = math.Min(b.tokens+ratioMargin*b.limits.ratio, b.limits.capacity())
}

// spend takes a token and reports whether there was one. A hedge must leave a
// reserve for retries, which gain more from another send.
func (b *budget) spend(hedge bool) bool {
	need := 1.0
	if hedge {
		need += hedgeReserve * b.limits.capacity()
	}
	if b.tokens < need {
		return false
	}
	b.tokens--
	return true
}
