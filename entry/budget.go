package entry

import "sync"

const (
	// extraShare is the part of a service's budget for extra sub-requests that
	// entries may use. The homes' hedges and retries use the rest.
	extraShare = 0.2
	// extraBurst is the number of fan-outs that a full budget can repeat. It
	// lets the queries in flight restart when a snapshot is withdrawn.
	extraBurst = 4
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
	limit := float64(extraBurst * shards)
	have, ok := b.tokens[service]
	if !ok {
		have = limit
	}
	b.tokens[service] = min(limit, have+share*extraShare*float64(n))
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
