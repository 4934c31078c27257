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

// Cell is this daemon's view of its cell.
type Cell struct {
	cfg       config
	self      Member
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	mu        sync.Mutex
	doc       Document
	estate    catalogue.Estate
	table     *table
	listeners []func()
	leaving   bool
}

// New returns a Cell that does nothing until Run.
func New(self Member, opts ...Option) *Cell {
	ctx, cancel := context.WithCancel(context.Background())
	return &Cell{cfg: newConfig(opts), self: self, ctx: ctx, cancel: cancel}
}

// Run takes part in the cell until ctx or the Cell ends.
func (c *Cell) Run(ctx context.Context) {
	for ctx.Err() == nil && c.ctx.Err() == nil {
		c.load()
		_ = clock.Sleep(c.ctx, c.cfg.clk, time.Second)
	}
}

// Close stops the Cell and waits for its tasks.
func (c *Cell) Close() {
	c.cancel()
	c.tasks.Wait()
}

// Estate returns the configuration in force; false before the first one.
func (c *Cell) Estate() (catalogue.Estate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estate, c.doc.Generation > 0
}

// OnChange registers f, which is called after each change of configuration,
// membership or share. f must not block.
func (c *Cell) OnChange(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, f)
}

// Members returns the members of the epoch.
func (c *Cell) Members() []Member { return []Member{c.self} }

// Order returns the members to ask for g, the home first. The result is shared
// and must not be changed.
func (c *Cell) Order(g catalogue.Group) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		return nil
	}
	return c.table.order(g)
}

// Share returns the terms on which this daemon may send to g now.
func (c *Cell) Share(g catalogue.Group) lease.Share {
	if o := c.Order(g); len(o) > 0 && o[0].Name() == c.self.Name() {
		return lease.Full
	}
	return lease.None
}

// LeaseEnd returns the reading of clock.Clock.Boot at which Share's answers end.
func (c *Cell) LeaseEnd() time.Duration { return c.cfg.clk.Boot() + 3*time.Second }

// Leave gives up all homes and waits until others have taken them over.
func (c *Cell) Leave(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	return nil
}

// HandleHeartbeat serves the rpc Heartbeat.
func (c *Cell) HandleHeartbeat(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return &peerpb.HeartbeatReply{}, nil
}

// HandleSync serves the rpc Sync.
func (c *Cell) HandleSync(context.Context, *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return &peerpb.SyncReply{Incarnation: c.self.Incarnation()}, nil
}

// HandleRelease serves the rpc Release.
func (c *Cell) HandleRelease(context.Context, *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return &peerpb.ReleaseReply{}, nil
}

func (c *Cell) load() {
	o, err := c.cfg.st.Get(c.ctx, CatalogueKey)
	if err != nil {
		return
	}
	d, err := DecodeDocument(o.Value())
	if err != nil {
		return
	}
	c.install(d)
}

func (c *Cell) install(d Document) {
	c.mu.Lock()
	if d.Generation <= c.doc.Generation {
		c.mu.Unlock()
		return
	}
	e, err := c.cfg.parse(CatalogueKey, d.Text, d.Generation)
	if err != nil {
		c.mu.Unlock()
		return
	}
	c.doc, c.estate = d, e
	c.table = newTable(newInputs(e, c.cfg.groups(e)), []Member{c.self})
	listeners := c.listeners
	c.mu.Unlock()
	for _, f := range listeners {
		f()
	}
}
