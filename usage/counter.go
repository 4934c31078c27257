package usage

import (
	"slices"
	"sync"

	"medlaryard.example/medlaryard/meter"
)

const (
	// maxWindows limits the windows that are kept while no report can be made: 20
	// minutes of windows of 5 s.
	maxWindows = 240
	// maxEntries limits the counts that are kept, to about 10 MB. Windows beyond
	// it are dropped, the oldest first.
	maxEntries = 100_000
)

// entry is the number of requests of one account in one window.
type entry struct {
	count  int64
	change uint64 // Number of the change that led to the count.
}

// counts holds the entries of one window, by account.
type counts map[string]entry

// Counter counts the requests that this daemon begins to run, by window and
// account. It is safe for concurrent use.
type Counter struct {
	window func() int64 // The current window.
	since  func() int64 // The first window that is counted from its start on.

	mu       sync.Mutex
	windows  map[int64]counts
	open     map[int64]int // Undecided requests by window.
	entries  int
	change   uint64
	reported int64 // Windows up to this one are no longer counted.
	dropped  int64
}

// NewCounter returns a counter. The function window returns the current window,
// since the first one that is counted from its start on. Both depend on the true
// time as it is known now.
func NewCounter(window, since func() int64) *Counter {
	return &Counter{window: window, since: since, windows: make(map[int64]counts), open: make(map[int64]int)}
}

// maxAccountBytes limits the names of accounts that are counted, so that each fits
// into an update.
const maxAccountBytes = 4 << 10

// Begin returns the count of one request of an account. It returns nil if the
// request is not counted, because it has no account or the account's name is
// longer than maxAccountBytes.
func (c *Counter) Begin(account string) *Execution {
	if len(account) > maxAccountBytes {
		meter.Count("usage.name_too_long", 1)
		return nil
	}
	if account == "" {
		return nil
	}
	return &Execution{counter: c, account: account}
}

// begin counts a request in the current window.
func (c *Counter) begin(account string) int64 {
	w := c.window()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[w]++
	c.add(w, account, 1)
	return w
}

// settle records that a request is known to run, or to have been able to.
func (c *Counter) settle(w int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decide(w)
}

// takeBack subtracts a request that no target has run.
func (c *Counter) takeBack(w int64, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decide(w)
	c.add(w, account, -1)
}

func (c *Counter) decide(w int64) {
	if c.open[w]--; c.open[w] <= 0 {
		delete(c.open, w)
	}
}

func (c *Counter) add(w int64, account string, n int64) {
	if w <= c.reported {
		return
	}
	window := c.windows[w]
	if window == nil {
		window = make(counts)
		c.windows[w] = window
	}
	e, ok := window[account]
	if !ok {
		c.entries++
	}
	c.change++
	window[account] = entry{count: e.count + n, change: c.change}
	for len(c.windows) > maxWindows || c.entries > maxEntries && len(c.windows) > 1 {
		c.dropOldest()
	}
}

func (c *Counter) dropOldest() {
	oldest := int64(-1)
	for w := range c.windows {
		if oldest < 0 || w < oldest {
			oldest = w
		}
	}
	c.entries -= len(c.windows[oldest])
	delete(c.windows, oldest)
	c.dropped++
}

// Forget removes the windows up to the given one, which have been reported or
// will never be.
func (c *Counter) Forget(through int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = max(c.reported, through)
	for w, window := range c.windows {
		if w <= c.reported {
			c.entries -= len(window)
			delete(c.windows, w)
		}
	}
}

// Dropped returns the number of windows that were dropped because too many
// waited.
func (c *Counter) Dropped() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// confirmed returns the last window that is over and has no undecided request.
func (c *Counter) confirmed(now int64) int64 {
	last := now - 1
	for w := range c.open {
		last = min(last, w-1)
	}
	return last
}

// lastChange returns the number of the last change.
func (c *Counter) lastChange() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.change
}

// Changes returns what has changed after the change with the given number.
func (c *Counter) Changes(after uint64) Update {
	now, since := c.window(), c.since()
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Update{Since: since, Confirmed: c.confirmed(now), Change: c.change}
	if c.change == after {
		return u
	}
	for w, window := range c.windows {
		for account, e := range window {
			if e.change > after {
				u.Counts = append(u.Counts, Count{Window: w, Account: account, Count: e.count, Change: e.change})
			}
		}
	}
	slices.SortFunc(u.Counts, func(a, b Count) int { return int(a.Change) - int(b.Change) })
	return u
}
