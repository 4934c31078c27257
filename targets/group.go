package targets

import (
	"context"
	"net"
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
	zone     string
	onCrash  func(fingerprint uint64)
	log      zerolog.Logger

	mu       sync.Mutex
	wg       sync.WaitGroup
	closed   bool
	targets  []*Target
	turn     int
	waiting  []*Call
	budget   budget
	limit    int     // Connections to one target.
	coldRate float64 // What a cold target bears, over all daemons.
	daemons  int
	warm     bool // Connections are made before they are needed.
	move     *versionMove
}

// NewGroup returns the group of a service without targets.
func NewGroup(service string, p Protocol, opts ...Option) *Group {
	g := &Group{service: service, protocol: p, clock: clock.System{}, limit: 1, daemons: 1, onCrash: func(uint64) {}, log: zerolog.Nop()}
	g.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Sizing is a daemon's part of the limits that all daemons share.
type Sizing struct {
	connections int
	coldRate    float64
	budget      BudgetLimits
	warm        bool
}

// NewSizing allows that many connections to each target and the extra sends of
// b. A cold target bears coldRate requests a second from all daemons, 0 meaning
// no limit. With warm set, connections are made before they are needed.
func NewSizing(connections int, coldRate float64, b BudgetLimits, warm bool) Sizing {
	return Sizing{connections: max(connections, 1), coldRate: coldRate, budget: b, warm: warm}
}

// Resize applies new limits. Connections above them are closed once idle.
func (g *Group) Resize(s Sizing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit, g.coldRate, g.daemons = s.connections, s.coldRate, s.budget.daemons
	g.budget.configure(s.budget)
	g.warm = s.warm
	for _, t := range g.targets {
		g.trim(t)
		g.prepare(t)
	}
	g.retire(g.clock.Now())
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
			t = &Target{group: g, entry: e}
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
		if !contains(kept, t) {
			g.forget(t)
		}
	}
	g.targets = kept
	for _, t := range g.targets {
		g.prepare(t)
	}
	sends := g.dispatch(now)
	g.mu.Unlock()
	transmit(sends)
}

func (g *Group) find(e Entry) *Target {
	for _, t := range g.targets {
		if t.entry.sameStart(e) {
			return t
		}
	}
	return nil
}

func contains(ts []*Target, t *Target) bool {
	for _, other := range ts {
		if other == t {
			return true
		}
	}
	return false
}

// forget closes the idle connections of a target that has left. Requests that
// it works on are still answered.
func (g *Group) forget(t *Target) {
	t.gone = true
	g.log.Info().Str("service", g.service).Str("target", t.entry.id).Int("in_flight", len(t.calls)).Msg("target removed")
	g.trim(t)
}

// retire closes the connections beyond the first that have been idle for long.
// A daemon that starts anew then finds room below the cap, although targets
// still count the connections of its last run.
func (g *Group) retire(now time.Time) {
	for _, t := range g.targets {
		for len(t.conns) > 1 {
			c := t.stalest()
			if c == nil || now.Sub(c.idle) < spareIdle {
				break
			}
			g.drop(c)
		}
	}
}

// trim closes idle connections above the limit, all of them for a target that
// has left.
func (g *Group) trim(t *Target) {
	limit := g.limit
	if t.gone {
		limit = 0
	}
	for len(t.conns) > limit {
		c := t.stalest()
		if c == nil {
			return
		}
		g.drop(c)
	}
}

// drop closes a connection; its reader then ends without a further effect.
func (g *Group) drop(c *conn) {
	c.closed = true
	c.target.removeConn(c)
	_ = c.Close() // Nothing is lost with an idle or given-up connection.
}

// prepare makes the first connection to a target before it is needed.
func (g *Group) prepare(t *Target) {
	if g.warm && !g.closed && !t.gone && !t.down && len(t.conns)+t.dialing == 0 {
		g.connect(t)
	}
}

// connect makes a connection in the background.
func (g *Group) connect(t *Target) {
	t.dialing++
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		meter.Count("target.connections", 1)
		nc, err := g.dial(ctx, t.entry.address)
		g.connected(t, nc, err)
	}()
}

func (g *Group) connected(t *Target, nc net.Conn, err error) {
	g.mu.Lock()
	now := g.clock.Now()
	t.dialing--
	if err != nil {
		g.unreachable(t, err)
		sends := g.dispatch(now)
		g.mu.Unlock()
		transmit(sends)
		return
	}
	if t.gone || g.closed {
		g.mu.Unlock()
		_ = nc.Close() // Made in vain.
		return
	}
	if t.down {
		g.log.Info().Str("service", g.service).Str("target", t.entry.id).Msg("target accepts connections again")
	}
	t.down = false
	c := newConn(t, nc, now)
	t.conns = append(t.conns, c)
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		c.read()
	}()
	sends := g.dispatch(now)
	g.mu.Unlock()
	transmit(sends)
}

// unreachable marks a target down and tries it again after a growing delay.
func (g *Group) unreachable(t *Target, err error) {
	if len(t.conns) > 0 {
		// Others take up the cap; the connections that there are still serve.
		meter.Count("target.connection.refused", 1)
		t.refused++
		t.retry = g.clock.Now().Add(retryDelay(t.refused))
		return
	}
	meter.Count("target.unreachable", 1)
	if !t.down {
		g.log.Warn().Str("service", g.service).Str("target", t.entry.id).Err(err).Msg("target does not accept connections")
		g.reportCrash(t)
	}
	t.down = true
	t.refused++
	g.retryLater(t)
}

// reportCrash tells which requests were under way at a target that broke its
// connections and then accepts none.
func (g *Group) reportCrash(t *Target) {
	if g.clock.Now().Sub(t.broke) > crashWindow {
		return
	}
	for _, print := range t.suspects {
		g.onCrash(print)
	}
	t.suspects = nil
}

// retryLater tries to connect to a target again after a growing delay.
func (g *Group) retryLater(t *Target) {
	if t.gone || g.closed || t.dialing > 0 {
		return
	}
	g.clock.AfterFunc(retryDelay(t.refused), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if t.down && !t.gone && !g.closed && t.dialing == 0 {
			g.connect(t)
		}
	})
}

// retryDelay is the pause after that many failures in a row.
func retryDelay(failures int) time.Duration {
	return min(firstRetry<<min(max(failures-1, 0), 8), lastRetry)
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
		if c.newer && !g.hasTarget(c) {
			c.newer = false // No target of the new version accepts connections.
		}
	}
	if g.closed || len(g.waiting) >= maxWaiting || !g.hasTarget(c) {
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
	sends := g.dispatch(now)
	g.mu.Unlock()
	transmit(sends)
	return true
}

// enqueue inserts a call behind those of its priority.
func (g *Group) enqueue(c *Call) {
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].priority > c.priority {
		i--
	}
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[i+1:], g.waiting[i:])
	g.waiting[i] = c
}

// Reachable reports whether some target accepts connections.
func (g *Group) Reachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if !t.down {
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
