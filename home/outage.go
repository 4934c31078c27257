package home

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// fingerprint returns a hash of the searcher's address.
func (m *member) fingerprint() uint64 { return xxhash.Sum64String(m.spec.Address()) }

// Outage returns the fingerprints of the searchers of a group that have ended since the
// given boot time, and the number of those that certainly have not.
func (s *Set) Outage(group string, since time.Duration) (ended []uint64, survived int) {
	g := s.group(group)
	if g == nil {
		return nil, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		switch {
		case m.endedAt > 0 && m.endedAt >= since:
			ended = append(ended, m.fingerprint())
		case !m.down && m.lastReply >= since:
			survived++
		}
	}
	return ended, survived
}
