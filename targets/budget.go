package targets

import "math"

const (
	// ratioMargin keeps the earned sends below the ratio, because the sends of a
	// window may follow requests of the window before.
	ratioMargin = 0.8
	// slackMargin keeps the buckets of all daemons below the slack, because those
	// that start, stop or take over have a bucket of their own: half as many
	// again as serve.
	slackMargin = 0.55
	// hedgeReserve is the part of the bucket that hedges leave untouched.
	hedgeReserve = 0.25
)

// budget bounds the extra sends to one service by this daemon: a token bucket
// that earns a fraction of a token for each request and holds this daemon's
// part of the slack. The caller holds the group's lock.
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

// NewBudgetLimits allows ratio extra sends for each request and slack more in
// each window, over that many daemons.
func NewBudgetLimits(ratio, slack float64, daemons int) BudgetLimits {
	return BudgetLimits{ratio: ratio, slack: slack, daemons: max(daemons, 1)}
}

// capacity is the greatest number of tokens. A restarted daemon starts with
// half of it, so that restarts do not multiply the slack.
func (l BudgetLimits) capacity() float64 {
	return math.Max(1, slackMargin*l.slack/float64(l.daemons))
}

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

// take spends a token. A hedge leaves a reserve for requests that have failed,
// which gain more by another send.
func (b *budget) take(hedge bool) bool {
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
