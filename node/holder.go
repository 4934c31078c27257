package node

import (
	"sync"
	"time"

	"medlaryard.example/medlaryard/duty"
	"medlaryard.example/medlaryard/fleet"
)

// holderTracker remembers which daemon was last heard to hold the duty. It is
// safe for concurrent use.
type holderTracker struct {
	mu          sync.Mutex
	token       uint64
	name        string
	incarnation uint64
	domain      string
}

// record records that a daemon holds a token, 0 if it holds none.
func (h *holderTracker) record(token uint64, name string, incarnation uint64, domain string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if token != 0 && token >= h.token {
		h.token, h.name, h.incarnation, h.domain = token, name, incarnation, domain
	}
}

// precedes reports whether daemon a comes before daemon b in the order of those
// that may take the duty. Daemons outside the failure domain of the last holder
// come first, so that the counts survive the loss of a failure domain, otherwise
// the order is that of names.
func (h *holderTracker) precedes(a, aDomain, b, bDomain string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	aOutside, bOutside := aDomain != h.domain, bDomain != h.domain
	if aOutside != bOutside {
		return aOutside
	}
	return a < b
}

// cutOffTime is how long the object must stay unchanged before a daemon takes the
// duty from one that is alive and does not reach the store. After an outage of the
// store, the holder usually returns first.
const cutOffTime = 1500 * time.Millisecond

// stopped reports whether the holder that a record names is known to have
// stopped: another incarnation of it is alive, or it was heard to hold the token
// and is silent, shuts down or does not reach the store. A holder that was never
// heard to hold the token may be one that this daemon cannot hear. The record has
// not changed for the given time.
func (h *holderTracker) stopped(r duty.Record, unchanged time.Duration, alive []fleet.Member) bool {
	h.mu.Lock()
	heard := h.token >= r.Token && h.name == r.Holder && h.incarnation == r.Incarnation
	h.mu.Unlock()
	for _, m := range alive {
		if m.Name() == r.Holder {
			return m.Incarnation() != r.Incarnation || heard && m.Leaving() ||
				m.Duty().GetStoreFailing() && unchanged >= cutOffTime
		}
	}
	return heard
}
