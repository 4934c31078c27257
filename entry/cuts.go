package entry

import (
	"sync"
	"time"
)

// maxCuts bounds the owners with a cut.
const maxCuts = 4096

// cuts holds, per owner, the time before which issued tickets are no longer
// accepted for new identifiers. A cut makes the refusal of a request that could
// not be recorded final.
type cuts struct {
	mu    sync.Mutex
	times map[string]time.Time
	// all applies to every owner once the table of owners is full.
	all time.Time
}

func (c *cuts) cut(owner string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.times == nil {
		c.times = make(map[string]time.Time)
	}
	if _, ok := c.times[owner]; !ok && len(c.times) >= maxCuts {
		clear(c.times)
		c.all = now
	}
	c.times[owner] = now
}

func (c *cuts) before(owner string, issued time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Tickets carry whole milliseconds, so one issued in the same millisecond
	// may be older.
	return !issued.After(c.times[owner]) || !issued.After(c.all)
}
