package entry

import "sync"

const (
	// extraShare is the part of a service's budget for extra sub-requests that
	// entries may use. The homes' hedges and retries use the rest.
	extraShare = 0.2
	// firstBurst is the number of fan-outs that a new budget can repeat.
	firstBurst = 4
	// extraBurst is the number of fan-outs that a full budget can repeat. It
	// lets the queries in flight restart when a snapshot is withdrawn, and those
	// in flight to a home that falls silent go to an acting one. At 4, the
	// queries of maxSilence at 50/s to an unsharded service missed their
	// deadline; the budget has to be earned, so the long-run share is the same.
	extraBurst = 64
)

// budget bounds the sub-requests that the entry sends a second time while the
// first send may have run.
type budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newBudget() *budget { return &budget{tokens: make(map[string]float64)} }

// earn credits n first sends of a service with the given budget.
func (b *budget) earn(service string, share float64, n, shards int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	have, ok := b.tokens[service]
	if !ok {
		have = float64(firstBurst * shards)
	}
	b.tokens[service] = min(float64(extraBurst*shards), have+share*extraShare*float64(n))
}

// spend takes n tokens or none.
func (b *budget) spend(service string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < float64(n) {
		return false
	}
	b.tokens[service] -= float64(n)
	return true
}
