package mirror

import (
	"sync"
	"time"
)

// minOutage is the shortest time without contact that counts as an outage. It
// exceeds the time in which another daemon takes over the watch.
const minOutage = 2500 * time.Millisecond

// Contact derives outages of the store from the times at which any daemon
// reached it. The loss of one daemon's contact is not an outage, because
// another daemon takes over. It is safe for concurrent use.
type Contact struct {
	mu        sync.Mutex
	last      time.Duration // Boot time of the last contact, at first that of the daemon's start, 0 if unknown.
	outageEnd time.Duration // Boot time at which the last outage ended, 0 if there was none.
}

// NewContact returns the contacts of a daemon that started at the boot time
// began. An outage counts from then on, because the daemon has no targets from
// an earlier time that an outage could have removed.
func NewContact(began time.Duration) *Contact { return &Contact{last: began} }

// Record records that a daemon reached the store at a boot time. Times may
// arrive out of order.
func (c *Contact) Record(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last > 0 && at-c.last > minOutage {
		c.outageEnd = at
	}
	c.last = max(c.last, at)
}

// OutageEnd returns the boot time at which the last outage ended. It returns
// false if there was none.
func (c *Contact) OutageEnd() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outageEnd, c.outageEnd > 0
}
