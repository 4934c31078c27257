package entry

import "sync"

const (
	// extraShare is the fraction of a service's budget for extra sub-requests
	// that entries may use. Hedges and retries of the homes use the rest.
	extraShare = 0.2
	// initialBurst is the number of fan-outs that a new budget can repeat.
	initialBurst = 4
	// maxBurst is the number of fan-outs that a full budget can repeat. It lets
	// queries in flight restart when a snapshot is withdrawn, or move to an
	// acting home when a home becomes silent. With 4, the queries that arrived
	// within maxSilence at 50/s for an unsharded service missed their deadline.
	// Tokens are credited per first send, so maxBurst does not change the
	// long-run share of extra sub-requests.
	maxBurst = 64
)

// budget limits the sub-requests that the entry sends again although the first
// send may have run. It is a token bucket per service.
type budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newBudget() *budget { return &budget{tokens: make(map[string]float64)} }

// earn credits the first sends of a service. The share is the service's budget
// for extra sub-requests as a fraction of its sub-requests.
func (b *budget) earn(service string, share float64, sends, shards int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = float64(initialBurst * shards)
	}
	b.tokens[service] = min(float64(maxBurst*shards), tokens+share*extraShare*float64(sends))
}

// spend removes n tokens and returns true, or returns false if fewer are left.
func (b *budget) spend(service string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < float64(n) {
		return false
	}
	b.tokens[service] -= float64(n)
	return true
}
