package daemon

import (
	"maps"
	"sync"
	"time"

	"medlaryard.example/medlaryard/lease"
)

// shareLog knows since when this daemon has its share of each group.
type shareLog struct {
	mu     sync.Mutex
	shares map[string]lease.Share
	since  map[string]time.Time
}

// set installs the shares at now and reports whether any changed.
func (l *shareLog) set(shares map[string]lease.Share, now time.Time) bool {
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

// get returns the share of a group and since when; the zero time without one.
func (l *shareLog) get(id string) (lease.Share, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares[id], l.since[id]
}
