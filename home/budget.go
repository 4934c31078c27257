package home

import (
	"sync"

	"medlaryard.example/medlaryard/invariant"
)

// extraBudget is the invariant that hedges and retries stay within their share.
const extraBudget invariant.Name = "home.extra_budget"

const (
	// homeShare is the part of a service's extra budget that homes may spend.
	// Entries may spend the other 20% on restarts of fan-outs, and neither knows
	// what the other spent, so that only fixed parts keep the sum within the
	// budget.
	homeShare = 0.8
	// initialTokens lets the first requests of a quiet service be retried.
	initialTokens = 2
	// maxTokens bounds the burst of extra requests after a calm period.
	maxTokens = 32
	// lateTokens is the reserve that early hedges leave to retries and to
	// requests that are very late. A hedge after the 0.95 quantile takes the
	// whole budget of 5% in calm times already, so that nothing would be left
	// when a searcher turns slow.
	lateTokens = 16
)

// budget is a token bucket filled by sub-requests and emptied by hedges and
// retries. It is safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	ratio  float64
	tokens float64
	earned float64 // All tokens ever earned.
	spent  int64
	subs   int64
}

// newBudget returns a budget for a service with the given share of extra requests.
func newBudget(extra float64) *budget {
	return &budget{ratio: homeShare * extra, tokens: initialTokens, earned: initialTokens}
}

// setExtra changes the service's share of extra requests.
func (b *budget) setExtra(extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = homeShare * extra
	if extra <= 0 {
		b.tokens = 0
	}
}

// earn counts one sub-request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subs++
	b.earned += b.ratio
	b.tokens = min(b.tokens+b.ratio, maxTokens)
}

// take reports whether one extra request may be sent, and counts it. It leaves
// the reserve untouched.
func (b *budget) take(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	b.spent++
	// Rounding of the many small additions stays far below 1e-6.
	invariant.Check(extraBudget, float64(b.spent) <= b.earned+1e-6, "%d extra of %g allowed", b.spent, b.earned)
	return true
}

// refund returns the token of an extra request that was not sent.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
	b.spent--
}

// counts returns the sub-requests and the extra requests so far.
func (b *budget) counts() (subs, extra int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.subs, b.spent
}
