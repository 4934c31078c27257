package home

import (
	"sync"

	"medlaryard.example/medlaryard/invariant"
)

// extraBudgetInvariant requires that hedges and retries stay within the homes'
// part of the extra budget.
const extraBudgetInvariant invariant.Name = "home.extra_budget"

const (
	// homeBudgetFraction is the fraction of a service's extra budget that homes
	// may spend. Entries may spend the other 20% on restarts of fan-outs.
	// Neither knows what the other spends, so the fractions are fixed.
	homeBudgetFraction = 0.8
	// initialTokens lets the first requests of a service with little traffic be
	// retried.
	initialTokens = 2
	// maxTokens bounds the burst of extra requests after a period with few of
	// them.
	maxTokens = 32
	// hedgeReserve is the number of tokens that early hedges leave for retries
	// and for requests that are very late. Hedges after the 0.95 quantile spend
	// the whole budget of 5% even without a fault, so that nothing would be
	// left when a searcher becomes slow.
	hedgeReserve = 16
)

// budget is a token bucket that sub-requests fill and that hedges and retries
// empty. It is safe for concurrent use.
type budget struct {
	mu          sync.Mutex
	ratio       float64
	tokens      float64
	earned      float64 // All tokens earned so far.
	spent       int64
	subRequests int64
}

// newBudget returns the budget of a service whose extra requests may be the
// given fraction of its sub-requests.
func newBudget(extra float64) *budget {
	return &budget{ratio: homeBudgetFraction * extra, tokens: initialTokens, earned: initialTokens}
}

// setExtra changes the fraction of extra requests.
func (b *budget) setExtra(extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = homeBudgetFraction * extra
	if extra <= 0 {
		b.tokens = 0
	}
}

// earn records one sub-request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subRequests++
	b.earned += b.ratio
	b.tokens = min(b.tokens+b.ratio, maxTokens)
}

// spend takes one token for an extra request and reports whether it could. It
// fails when fewer than reserve tokens would be left.
func (b *budget) spend(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	b.spent++
	// The rounding errors of the additions stay far below 1e-6.
	invariant.Check(extraBudgetInvariant, float64(b.spent) <= b.earned+1e-6, "%d extra requests were sent, %g allowed", b.spent, b.earned)
	return true
}

// refund returns the token of an extra request that was not sent.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
	b.spent--
}

// totals returns the sub-requests and the extra requests since the budget was
// created.
func (b *budget) totals() (subs, extra int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.subRequests, b.spent
}
