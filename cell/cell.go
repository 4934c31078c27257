package cell

import (
	"context"
	"sync"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// Cell is this daemon's part in its cell. All state is guarded by mu. Calls to
// the store and to peers run as tasks without mu; each applies its result
// under mu, so a call that never returns blocks nothing else.
type Cell struct {
	cfg       config
	self      Member
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	mu        sync.Mutex
	closed    bool
	changed   bool     // Listeners must be called.
	queued    []func() // Tasks to start at the end of the critical section.
	listeners []func()
	applies   bool   // The daemon calls ConfirmShares.
	applied   uint64 // Key of the shares that the homes have.
	noted     uint64 // Key at the last tick.
	reads     uint64 // Calls of ShareKey.
	closing   map[string]*closing
	leaving   bool
	view      view
	pending   pending
	beat      beat
	keeper    *keeper // Nil unless this daemon writes the cell object.
	candidate candidate
	poll      poll
	config    configuration
	watch     watch
	release   release
	contact   contact
}

// New returns a Cell that does nothing until Run.
func New(self Member, opts ...Option) *Cell {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cell{cfg: newConfig(opts), self: self.withLeaving(false), ctx: ctx, cancel: cancel}
	c.release.estimates = make(map[string]*peerpb.ReleasedGroup)
	c.closing = make(map[string]*closing)
	return c
}

// Run takes part in the cell until ctx or the Cell ends.
func (c *Cell) Run(ctx context.Context) {
	for ctx.Err() == nil && c.ctx.Err() == nil {
		c.tick()
		if clock.Sleep(ctx, c.cfg.clk, tickInterval) != nil {
			return
		}
	}
}

// Close stops the Cell and waits for its tasks.
func (c *Cell) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.tasks.Wait()
}

// Estate returns the configuration in force; false before the first one.
func (c *Cell) Estate() (catalogue.Estate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.estate, c.config.doc.Generation > 0
}

// OnChange registers f, which is called after each change of configuration,
// membership or share. f must not block.
func (c *Cell) OnChange(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, f)
}

// Members returns the members of the epoch, empty before the first one. The
// result is shared and must not be changed.
func (c *Cell) Members() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.m == nil {
		return nil
	}
	return c.view.m.members
}

// PreferenceList returns the members to ask for g, the home first. The result is shared
// and must not be changed.
func (c *Cell) PreferenceList(g catalogue.Group) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.orderLocked(g)
}

// Share returns the terms on which this daemon may send to g now.
func (c *Cell) Share(g catalogue.Group) lease.Share {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.applies && c.closing[g.ID()] != nil {
		return lease.None
	}
	return c.view.share(now, c.self.Name(), g.ID(), c.orderLocked(g))
}

// LeaseEnd returns the reading of clock.Clock.Boot at which the shares that were
// applied last end; a home checks it before each send. It is in the past while
// newer and smaller shares are not applied.
func (c *Cell) LeaseEnd() time.Duration {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.applies && c.applied != c.view.key(now) {
		return 0
	}
	return c.view.end(now)
}

// ShareKey identifies the shares in force. Read it before Share, and pass it to
// ConfirmShares once the homes have these shares.
func (c *Cell) ShareKey() uint64 {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	return c.view.key(now)
}

// ConfirmShares reports that the homes have the shares that were read after the last
// ShareKey, which returned key. A daemon that wakes from a pause must not use the shares it had
// before with the lease that it gets now. Without any call, LeaseEnd does not
// wait for one.
func (c *Cell) ConfirmShares(key uint64) {
	c.mu.Lock()
	defer c.unlock()
	c.applies, c.applied = true, key
	c.appliedLocked()
}

func (c *Cell) orderLocked(g catalogue.Group) []Member {
	if c.view.table == nil {
		return nil
	}
	return c.view.table.order(g)
}

// tick starts whatever is due.
func (c *Cell) tick() {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	c.adoptPendingLocked(now)
	c.keepLocked(now)
	c.beatLocked(now)
	c.electLocked(now)
	c.pollLocked(now)
	c.configLocked(now)
	c.askReleaseLocked(now)
	if key := c.view.key(now); key != c.noted {
		c.noted, c.changed = key, true
	}
	c.unlock()
}

// later queues a task for the end of the critical section.
func (c *Cell) later(f func()) {
	if c.closed {
		return
	}
	c.tasks.Add(1)
	c.queued = append(c.queued, f)
}

// unlock ends a critical section: it starts queued tasks and calls listeners.
func (c *Cell) unlock() {
	queued, changed, listeners := c.queued, c.changed, c.listeners
	c.queued, c.changed = nil, false
	c.mu.Unlock()
	for _, f := range queued {
		c.cfg.spawn(func() {
			defer c.tasks.Done()
			f()
		})
	}
	if changed {
		for _, f := range listeners {
			f()
		}
	}
}

// within returns a context that ends after d or with the Cell.
func (c *Cell) within(d time.Duration) (context.Context, context.CancelFunc) {
	return clock.WithDeadline(c.ctx, c.cfg.clk, c.cfg.clk.Boot()+d)
}
