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

// Cell is the state of this daemon in its cell. mu guards all state. Calls to the
// store and to peers run in tasks that hold mu only to apply their results, so a
// call that never returns blocks nothing else.
type Cell struct {
	cfg            config
	self           Member
	ctx            context.Context
	cancel         context.CancelFunc
	tasks          sync.WaitGroup
	mu             sync.Mutex
	closed         bool
	changed        bool     // unlock must call the listeners.
	queuedTasks    []func() // Tasks that unlock starts.
	listeners      []func()
	confirmsShares bool   // The daemon has called ConfirmShares.
	appliedKey     uint64 // Last key passed to ConfirmShares.
	lastTickKey    uint64 // Share key at the last tick.
	shareReads     uint64 // Number of calls of ShareKey.
	closingHomes   map[string]*closingHome
	leaving        bool
	view           view
	pending        pendingMembership
	heartbeat      heartbeat
	leader         *leaderState // Nil unless this daemon is the leader.
	election       election
	poll           poll
	configuration  configuration
	watch          watch
	handoff        handoff
	contact        contact
}

// New returns a Cell that starts its periodic work in Run.
func New(self Member, opts ...Option) *Cell {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cell{cfg: newConfig(opts), self: self.withLeaving(false), ctx: ctx, cancel: cancel}
	c.handoff.estimates = make(map[string]*peerpb.ReleasedGroup)
	c.closingHomes = make(map[string]*closingHome)
	return c
}

// Run takes part in the cell until ctx is done or the Cell is closed.
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
	return c.configuration.estate, c.configuration.doc.Generation > 0
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
	if c.view.membership == nil {
		return nil
	}
	return c.view.membership.members
}

// PreferenceList returns the members to ask for g, the home first. It is empty
// before the homes of the epoch are computed. The result is shared and must not be
// changed.
func (c *Cell) PreferenceList(g catalogue.Group) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.preferenceListLocked(g)
}

// Share returns the share of g's budgets that this daemon may use now.
func (c *Cell) Share(g catalogue.Group) lease.Share {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmsShares && c.closingHomes[g.ID()] != nil {
		return lease.None
	}
	return c.view.share(now, c.self.Name(), g.ID(), c.preferenceListLocked(g))
}

// LeaseEnd returns the reading of clock.Clock.Boot at which the shares that the
// homes applied last expire. A home checks it before each send. LeaseEnd returns 0
// while the homes have not applied the shares in force.
func (c *Cell) LeaseEnd() time.Duration {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmsShares && c.appliedKey != c.view.shareKey(now) {
		return 0
	}
	return c.view.sharesEnd(now)
}

// ShareKey returns a key that identifies the shares in force. Call it before Share,
// and pass the key to ConfirmShares once the homes have applied these shares.
func (c *Cell) ShareKey() uint64 {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shareReads++
	return c.view.shareKey(now)
}

// ConfirmShares records that the homes have applied the shares that were read after
// the last call of ShareKey, which returned key. The confirmation keeps a daemon
// that wakes from a pause from using its old shares under a new lease. If
// ConfirmShares is never called, LeaseEnd does not depend on it.
func (c *Cell) ConfirmShares(key uint64) {
	c.mu.Lock()
	defer c.unlock()
	c.confirmsShares, c.appliedKey = true, key
	c.pruneClosingLocked()
}

func (c *Cell) preferenceListLocked(g catalogue.Group) []Member {
	if c.view.table == nil {
		return nil
	}
	return c.view.table.preferenceList(g)
}

// tick runs the periodic work that is due.
func (c *Cell) tick() {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	c.adoptPendingLocked(now)
	c.leadLocked(now)
	c.sendHeartbeatLocked(now)
	c.electLocked(now)
	c.pollLocked(now)
	c.watchConfigurationLocked(now)
	c.requestReleasesLocked(now)
	if key := c.view.shareKey(now); key != c.lastTickKey {
		c.lastTickKey, c.changed = key, true
	}
	c.unlock()
}

// queueTask queues f, which unlock starts at the end of the critical section. It
// drops f once the Cell is closed.
func (c *Cell) queueTask(f func()) {
	if c.closed {
		return
	}
	c.tasks.Add(1)
	c.queuedTasks = append(c.queuedTasks, f)
}

// unlock releases mu, starts the queued tasks and, after a change, calls the
// listeners.
func (c *Cell) unlock() {
	queued, changed, listeners := c.queuedTasks, c.changed, c.listeners
	c.queuedTasks, c.changed = nil, false
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

// withTimeout returns a context that ends after d or when the Cell is closed.
func (c *Cell) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return clock.WithDeadline(c.ctx, c.cfg.clk, c.cfg.clk.Boot()+d)
}
