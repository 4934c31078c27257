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
func (l *appliedShares) set(shares map[string]lease.Share, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since == nil {
		l.since = make(map[string]time.Time)
	}
	if maps.Equal(l.shares, shares) {
		return false
	}
	for id := range l.since {
		if _, ok := shares[id]; !ok {
			delete(l.since, id)
		}
	}
	for id, s := range shares {
		if l.shares[id] != s {
			l.since[id] = now
		}
	}
	l.shares = shares
	return true
}

// get returns the share of group id and since when the daemon has it. The time is
// zero if the daemon has no share.
func (l *appliedShares) get(id string) (lease.Share, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares[id], l.since[id]
}
