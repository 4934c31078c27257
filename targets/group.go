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
	"medlaryard.example/medlaryard/readbudget"
)

const (
	// dialTimeout is long compared with the few milliseconds in which a
	// connection opens and short compared with the timeouts of callers.
	dialTimeout = 250 * time.Millisecond
	// maxWaiting bounds the queue of one group; calls further back would miss
	// their objective before they are sent.
	maxWaiting = 64
	// minAbandonTimeout is the minimum time after sending at which the
	// connection of an abandoned call is closed. Pauses of targets last up to
	// 250 ms.
	minAbandonTimeout = 350 * time.Millisecond
	// abandonTimeoutFactor is that time as a multiple of the route's median
	// latency; the longer of the two applies.
	abandonTimeoutFactor = 8
	// crashWindow is the maximum time between a broken connection and a failed
	// connection attempt for the two to count as a crash of the target.
	crashWindow = 500 * time.Millisecond
	// spareIdleTimeout is how long idle connections beyond the first are kept.
	spareIdleTimeout = 4 * time.Second
	// callerLeftGrace is how long a call may still be answered after its caller
	// has left. Then its connection is closed to stop the target.
	callerLeftGrace = 200 * time.Millisecond
)

// Group holds the targets of one service and sends calls to them. It is safe
// for concurrent use.
type Group struct {
	service  string
	protocol Protocol
	clock    clock.Clock
	dial     func(ctx context.Context, address string) (net.Conn, error)
	domain   string
	onCrash  func(Crash)
	reports  *Reports
	notices  *Notices
	log      zerolog.Logger

	readBudget *readbudget.Budget
	connLimit  *ConnLimit

	mu          sync.Mutex
	wg          sync.WaitGroup
	closed      bool
	targets     []*Target
	placement   Placement
	candidates  []Candidate // Used by chooseTarget.
	choices     []choice    // Targets and connections of the candidates.
	rotation    int
	connections int // Connections opened so far.
	waiting     []*Call
	fair        fairQueue // Orders the waiting calls.
	shares      priorityShares
	advice      advice
	learned     uint64     // Calls whose service time was learned.
	slots       []connSlot // Used by connSlots.
	budget      budget
	maxConns    int // Maximum connections to one target.
	coldLimits  ColdLimits
	dispatchAt  time.Time // When the next dispatch for a target with a limit is due; zero if none is.
	preconnect  bool      // Connections are opened before they are needed.
	move        *versionMove
}

// NewGroup returns a group for a service, without targets.
func NewGroup(service string, p Protocol, opts ...Option) *Group {
	g := &Group{service: service, protocol: p, clock: clock.System{}, maxConns: 1, onCrash: func(Crash) {}, log: zerolog.Nop(), placement: ByLatency{}}
	g.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	for _, o := range opts {
		o(g)
	}
	if g.reports == nil {
		g.reports = NewReports(g.clock)
	}
	if g.readBudget == nil {
		g.readBudget = readbudget.New()
	}
	if g.notices == nil {
		g.notices = NewNotices(g.clock)
	}
	return g
}

// Update replaces the list of targets that may get requests. Known targets keep
// their connections. Targets that are not in the list are removed; their calls
// in flight may still be answered.
func (g *Group) Update(entries []Entry) {
	g.mu.Lock()
	now := g.clock.Now()
	kept := make([]*Target, 0, len(entries))
	for _, e := range entries {
		t := g.findTarget(e)
		if t == nil {
			t = &Target{group: g, id: e.id, address: e.address, fingerprint: e.fingerprint(), entry: e, listedAt: now}
			g.log.Info().Str("service", g.service).Str("target", e.id).Str("address", e.address).
				Dur("cold_for", e.warmUpLeft).Msg("target added")
		}
		if e.warmUpLeft > 0 {
			t.coldUntil = now.Add(e.warmUpLeft)
		}
		t.entry = e
		kept = append(kept, t)
	}
	for _, t := range g.targets {
		if !slices.Contains(kept, t) {
			g.removeTarget(t)
		}
	}
	g.targets = kept
	if g.move != nil {
		g.move.observeTargets(kept)
	}
	for _, t := range g.targets {
		g.ensureConn(t)
	}
	g.unlockAndSend(now)
}

func (g *Group) findTarget(e Entry) *Target {
	for _, t := range g.targets {
		if t.entry.sameStart(e) {
			return t
		}
	}
	return nil
}

// Submit queues a call. It returns false, and no result follows, if the group
// is closed, its queue is full, no target may get the call, or the budget for a
// retry or hedge is spent.
func (g *Group) Submit(c *Call) bool {
	g.mu.Lock()
	now := g.clock.Now()
	extra := c.purpose == Retry || c.purpose == Hedge
	if c.purpose == First {
		g.budget.earn()
	}
	c.move = g.move
	if g.move != nil {
		c.toNewVersion = g.move.assignToNew(c.purpose, c.route)
		if c.toNewVersion && !g.hasTarget(c, now) {
			c.toNewVersion = false // No target of the new version accepts connections.
		}
	}
	var displaced *Call
	if c.predicted != nil && c.purpose == First {
		g.shares.arrive(c.priority, now)
	}
	full := g.isFull(c, now)
	if full {
		displaced = g.fair.displaced(g.waiting, c)
	}
	if g.closed || full && displaced == nil || !g.hasTarget(c, now) {
		g.mu.Unlock()
		return false
	}
	if extra && !g.budget.spend(c.purpose == Hedge) {
		meter.Count("target.budget_spent", 1)
		g.mu.Unlock()
		return false
	}
	if displaced != nil {
		meter.Count("target.displaced", 1)
		g.waiting = slices.DeleteFunc(g.waiting, func(other *Call) bool { return other == displaced })
		g.finish(displaced, now, NotSent, "the queue is full and its account has the most calls in it")
	}
	c.state = callWaiting
	g.waiting = g.fair.insert(g.waiting, c)
	g.unlockAndSend(now)
	return true
}

// Reachable reports whether some target may get requests.
func (g *Group) Reachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if t.available() {
			return true
		}
	}
	return false
}

// expectsAnswer reports whether a request is in flight on c, and whether it is a
// HEAD request, whose answer has no body.
func (g *Group) expectsAnswer(c *conn) (expected, noBody bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.call != nil, c.call != nil && c.call.req.method == fasthttp.MethodHead
}

// Close closes all connections and waits for their goroutines.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	for _, t := range g.targets {
		t.removed = true
		for len(t.conns) > 0 {
			g.closeConn(t.conns[0])
		}
	}
	g.mu.Unlock()
	g.wg.Wait()
}

// Budget returns the number of extra sends that this daemon may still make.
func (g *Group) Budget() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.tokens
}

// InFlight returns the number of calls that were sent and not answered.
func (g *Group) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, t := range g.targets {
		n += len(t.calls)
	}
	return n
}
