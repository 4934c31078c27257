package daemon

import (
	"maps"
	"sync"
	"time"

	"medlaryard.example/medlaryard/lease"
)

// appliedShares records this daemon's share of each group and since when it has it.
type appliedShares struct {
	mu     sync.Mutex
	shares map[string]lease.Share
	since  map[string]time.Time
}

// set replaces the shares at now and reports whether any changed.
func (a *appliedShares) set(shares map[string]lease.Share, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.since == nil {
		a.since = make(map[string]time.Time)
	}
	if maps.Equal(a.shares, shares) {
		return false
	}
	for id := range a.since {
		if _, ok := shares[id]; !ok {
			delete(a.since, id)
		}
	}
	for id, s := range shares {
		if a.shares[id] != s {
			a.since[id] = now
		}
	}
	a.shares = shares
	return true
}

// get returns the share of group id and since when the daemon has it. The time is
// zero if the daemon has no share.
func (a *appliedShares) get(id string) (lease.Share, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shares[id], a.since[id]
}
