package entry

import (
	"sync"
	"time"
)

// maxCutoffs limits the number of owners with a cutoff of their own.
const maxCutoffs = 4096

// ticketCutoffs holds a cutoff time per owner. Tickets issued up to the cutoff
// are not accepted for new identifiers. A request that could not be recorded is
// refused as "not run"; its owner's cutoff keeps a delayed copy of it from running.
type ticketCutoffs struct {
	mu    sync.Mutex
	times map[string]time.Time
	// allOwners is the cutoff of every owner. It is set when a full times is
	// cleared.
	allOwners time.Time
}

func (c *ticketCutoffs) set(owner string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.times == nil {
		c.times = make(map[string]time.Time)
	}
	if _, ok := c.times[owner]; !ok && len(c.times) >= maxCutoffs {
		clear(c.times)
		c.allOwners = now
	}
	c.times[owner] = now
}

func (c *ticketCutoffs) rejects(owner string, issued time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Tickets carry whole milliseconds, so a ticket with the same millisecond as
	// the cutoff may be older than it.
	return !issued.After(c.times[owner]) || !issued.After(c.allOwners)
}
