package targets

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
)

const (
	// dialTimeout is long against the few milliseconds of a new connection and
	// short against the time in which an answer has its value.
	dialTimeout = 250 * time.Millisecond
	// maxWaiting bounds the calls that wait for a connection of one group; more
	// would be older than their objective when their turn comes.
	maxWaiting = 64
	// patience is the shortest time after which an unwanted request is taken for
	// lost and its connection closed; pauses of targets last up to 250 ms.
	patience = 350 * time.Millisecond
	// patienceFactor is that time in usual latencies.
	patienceFactor = 8
	// crashWindow is the time between broken connections and a refused one
	// within which a target has crashed.
	crashWindow = 500 * time.Millisecond
	// spareIdle is how long an idle connection beyond the first is kept.
	spareIdle = 4 * time.Second
	// callerGrace is how long a request whose caller has left may still be
	// answered before its connection is closed to stop the target.
	callerGrace = 200 * time.Millisecond
)

// Group is the targets of one service. It is safe for concurrent use.
type Group struct {
	service  string
	protocol Protocol
	clock    clock.Clock
	dial     func(ctx context.Context, address string) (net.Conn, error)
	domain   string
	onCrash  func(fingerprint uint64)
	reports  *Reports
	log      zerolog.Logger

	mu      sync.Mutex
	wg      sync.WaitGroup
	closed  bool
	targets []*Target
	turn    int
	waiting []*Call
	budget  budget
	limit   int // Connections to one target.
	cold    ColdLimits
	waking  bool // A timer will dispatch for a cold target.
	warm    bool // Connections are made before they are needed.
	move    *versionMove
}

// NewGroup returns the group of a service without targets.
func NewGroup(service string, p Protocol, opts ...Option) *Group {
	g := &Group{service: service, protocol: p, clock: clock.System{}, limit: 1, onCrash: func(uint64) {}, log: zerolog.Nop()}
	g.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	for _, o := range opts {
		o(g)
	}
	if g.reports == nil {
		g.reports = NewReports(g.clock)
	}
	return g
}

// Update sets the entries of the group's targets that may get requests. Known
// targets keep their connections; others are drained and forgotten.
func (g *Group) Update(entries []Entry) {
	g.mu.Lock()
	now := g.clock.Now()
	kept := make([]*Target, 0, len(entries))
	for _, e := range entries {
		t := g.find(e)
		if t == nil {
			t = &Target{group: g, id: e.id, address: e.address, fingerprint: e.fingerprint(), entry: e}
			g.log.Info().Str("service", g.service).Str("target", e.id).Str("address", e.address).
				Dur("cold_for", e.warmLeft).Msg("target added")
		}
		if e.warmLeft > 0 {
			t.coldTill = now.Add(e.warmLeft)
		}
		t.entry = e
		kept = append(kept, t)
	}
	for _, t := range g.targets {
		if !slices.Contains(kept, t) {
			g.forget(t)
		}
	}
	g.targets = kept
	for _, t := range g.targets {
		g.prepare(t)
	}
	g.unlockAndSend(now)
}

func (g *Group) find(e Entry) *Target {
	for _, t := range g.targets {
		if t.entry.sameStart(e) {
			return t
		}
	}
	return nil
}

// Submit hands a call to the group. Its result follows unless Submit reports
// false: there is no target for it or, for a retry or hedge, no budget.
func (g *Group) Submit(c *Call) bool {
	g.mu.Lock()
	now := g.clock.Now()
	extra := c.purpose == Retry || c.purpose == Hedge
	if c.purpose == First {
		g.budget.earn()
	}
	if g.move != nil {
		c.newer = g.move.next(c.purpose)
		if c.newer && !g.hasTarget(c, now) {
			c.newer = false // No target of the new version accepts connections.
		}
	}
	if g.closed || len(g.waiting) >= maxWaiting || !g.hasTarget(c, now) {
		g.mu.Unlock()
		return false
	}
	if extra && !g.budget.take(c.purpose == Hedge) {
		meter.Count("target.budget_spent", 1)
		g.mu.Unlock()
		return false
	}
	c.state = callWaiting
	g.enqueue(c)
	g.unlockAndSend(now)
	return true
}

// enqueue inserts a call behind those of its priority.
func (g *Group) enqueue(c *Call) {
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].priority > c.priority {
		i--
	}
	g.waiting = slices.Insert(g.waiting, i, c)
}

// Reachable reports whether some target accepts connections.
func (g *Group) Reachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if t.accepts() {
			return true
		}
	}
	return false
}

// expectsNoBody reports whether the answer that c waits for has no body.
func (g *Group) expectsNoBody(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.call != nil && c.call.req.method == fasthttp.MethodHead
}

// Close ends all connections and waits for their readers.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	for _, t := range g.targets {
		t.gone = true
		for len(t.conns) > 0 {
			g.drop(t.conns[0])
		}
	}
	g.mu.Unlock()
	g.wg.Wait()
}

// Budget returns how many extra sends are left to this daemon.
func (g *Group) Budget() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.tokens
}

// InFlight returns how many requests the targets work on.
func (g *Group) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, t := range g.targets {
		n += len(t.calls)
	}
	return n
}
