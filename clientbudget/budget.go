package clientbudget

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
)

const (
	// freeFraction is the part of a bound that is made free when it is reached, so
	// that the connections are not ranked for each byte.
	freeFraction = 0.1
	// overshoot bounds what is held including connections that are being closed.
	overshoot = 1.25
	// smallOvershoot is the same bound for a reservation of up to smallBytes, so that
	// connections are accepted and usual requests read while others are being closed.
	smallOvershoot = 1.5
	smallBytes     = connBytes
	// maxUnclosed bounds the connections, in multiples of the limit, that their servers
	// have not closed yet although the budget has.
	maxUnclosed = 2
	// largeBytes is the size from which the body of a request is refused before it
	// is read if there is no room for all of it.
	largeBytes = 64 << 10
	// sweepInterval is the time between checks for connections without progress.
	sweepInterval = 500 * time.Millisecond
	// logInterval is the least time between two log lines about closed connections.
	logInterval = 10 * time.Second
)

// connCount counts connections.
type connCount struct {
	open    int // Those whose descriptors are in use.
	evicted int // Those of them that are being closed.
}

// Budget bounds what is held for the clients of all listeners. It is safe for
// concurrent use.
type Budget struct {
	limits Limits
	clock  clock.Clock
	log    zerolog.Logger
	origin time.Time
	accept *rate.Limiter
	heap   *heapLimiter
	shared func() int // Descriptors that targets take.
	opened func()     // Called after a connection was accepted.

	mu sync.Mutex
	connCount
	conns    map[*Conn]struct{} // Until their servers have closed them.
	held     int64              // Sum over conns.
	closing  int64              // Part of held whose connections are being closed.
	paused   time.Duration
	sweptAt  time.Duration
	loggedAt time.Duration
	closed   map[reason]int // Since loggedAt.
	refused  int            // Since loggedAt.
}

// New returns a budget with the given limits.
func New(l Limits, c clock.Clock, log zerolog.Logger) *Budget {
	return &Budget{
		limits: l, clock: c, log: log, origin: c.Now(), loggedAt: -logInterval,
		accept: rate.NewLimiter(rate.Limit(l.acceptRate), l.connections),
		heap:   newHeapLimiter(l.memory, c),
		shared: func() int { return 0 }, opened: func() {},
		conns: make(map[*Conn]struct{}), closed: make(map[reason]int),
	}
}

// ShareDescriptors sets functions for connections that take descriptors beside those
// of clients: the first returns their number, and the second is called after each
// connection of a client was accepted. It must be called before Listen.
func (b *Budget) ShareDescriptors(others func() int, opened func()) {
	b.shared, b.opened = others, opened
}

// Connections returns the number of open connections.
func (b *Budget) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// now returns the time of the budget, which stands still while the process is
// paused: what clients send meanwhile is read afterwards. The caller holds b.mu.
func (b *Budget) now() time.Duration { return b.clock.Now().Sub(b.origin) - b.paused }

// acceptDelay returns how long to wait before the next connection is accepted.
func (b *Budget) acceptDelay() time.Duration {
	now := b.clock.Now()
	return b.accept.ReserveN(now, 1).DelayFrom(now)
}

// add takes in a connection. It returns false if there is no room for it, also if
// others are closed.
func (b *Budget) add(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	total, _ := b.limits.Descriptors()
	limit := max(1, min(b.limits.connections, total-b.shared()))
	if n := b.open - b.evicted - limit + 1; n > 0 {
		b.evictWorst(n+int(freeFraction*float64(limit)), now, nil)
	}
	// Descriptors are free only when their connections are closed.
	full := b.open >= min(int(overshoot*float64(limit)), max(1, total-b.shared())) || b.open-b.evicted >= limit
	if full || len(b.conns) >= maxUnclosed*limit || !b.makeRoomAt(c.listener, now) {
		b.count(connections)
		return false
	}
	c.enter(idle, now)
	c.inHead.Store(true)
	if !b.reserve(c, connBytes, now) {
		b.count(memory)
		return false
	}
	b.conns[c] = struct{}{}
	for _, n := range c.counts() {
		n.open++
	}
	return true
}

// makeRoomAt closes connections of a listener that has reached its own limit. It returns
// false if there is no room for another one.
func (b *Budget) makeRoomAt(l *listener, now time.Duration) bool {
	if l == nil || l.limit == 0 {
		return true
	}
	if n := l.open - l.evicted - l.limit + 1; n > 0 {
		b.evictWorst(n+int(freeFraction*float64(l.limit)), now, l)
	}
	return l.open < int(overshoot*float64(l.limit)) && l.open-l.evicted < l.limit
}

// evictWorst closes up to n connections of a listener, or of all if it is nil.
func (b *Budget) evictWorst(n int, now time.Duration, l *listener) {
	for _, c := range b.closable(now) {
		if n <= 0 {
			return
		}
		if l == nil || c.listener == l {
			b.evict(c, connections)
			n--
		}
	}
}

// freeDescriptors closes connections because a listener could not accept another one.
func (b *Budget) freeDescriptors() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evicted > 0 {
		return // Their descriptors are about to be free.
	}
	b.evictWorst(1+int(freeFraction*float64(b.open)), b.now(), nil)
}

// remove releases what a connection holds.
func (b *Budget) remove(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.conns[c]; !ok {
		return
	}
	c.releaseDescriptor()
	delete(b.conns, c)
	b.held -= c.held
	if c.evicted {
		b.closing -= c.held
	}
	c.held, c.removed = 0, true
}

// take adds n bytes, which may be negative, to what a connection holds. It does
// nothing once the connection is removed, which a server may do while a request is
// still being handled.
func (b *Budget) take(c *Conn, n int64) {
	if c.removed {
		return
	}
	c.held += n
	b.held += n
	if c.evicted {
		b.closing += n
	}
}

// reserve takes n bytes for a connection. If they exceed the budget, it closes
// other connections. It returns false and takes nothing if there is still no room.
func (b *Budget) reserve(c *Conn, n int64, now time.Duration) bool {
	if c.evicted {
		return false
	}
	if !b.makeRoom(c, n, now) {
		return false
	}
	b.take(c, n)
	return true
}

// makeRoom closes connections until n more bytes are free. It returns false if
// there are not enough whose clients are later than that of c, and then closes none.
func (b *Budget) makeRoom(c *Conn, n int64, now time.Duration) bool {
	limit := b.limits.bytes
	bound := smallOvershoot
	if n > smallBytes {
		limit, bound = b.largeLimit(), overshoot
	}
	if excess := b.held - b.closing + n - limit; excess > 0 {
		order := b.closable(now)
		if i := slices.Index(order, c); i >= 0 {
			order = order[:i]
		}
		if freed := heldBy(order); freed < excess {
			return false
		}
		excess += int64(freeFraction * float64(b.limits.bytes))
		for _, worst := range order {
			if excess <= 0 {
				break
			}
			excess -= worst.held
			b.evict(worst, memory)
		}
	}
	return b.held-b.closing+n <= limit && float64(b.held+n) <= bound*float64(limit)
}

// minLargeFraction is the least part of the budget for reservations that are not small.
const minLargeFraction = 0.25

// largeLimit returns how much may be held when a reservation that is not small is made.
// Connections to targets take as much as those of clients.
func (b *Budget) largeLimit() int64 {
	return max(int64(minLargeFraction*float64(b.limits.bytes)), b.limits.bytes-connBytes*int64(b.shared()))
}

func heldBy(conns []*Conn) int64 {
	sum := int64(0)
	for _, c := range conns {
		sum += c.held
	}
	return sum
}

// Room returns how many more bytes may be held. If they are fewer than n, it closes
// connections as for a client that needs n bytes.
func (b *Budget) Room(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.makeRoom(nil, int64(n), b.now())
	return int(max(0, b.limits.bytes-b.held+b.closing))
}

// AdmitAllocation waits until the heap has room for n bytes that are allocated at once.
// It returns false if there is none in time.
func (b *Budget) AdmitAllocation(n int) bool {
	if !b.heap.wait(int64(n), false, maxHeapWait, nil) {
		return false
	}
	b.heap.done(int64(n))
	return true
}

// closable returns the connections that may be closed, in the order of their rank.
func (b *Budget) closable(now time.Duration) []*Conn {
	type ranked struct {
		conn *Conn
		rank float64
	}
	var order []ranked
	for c := range b.conns {
		if r := c.rank(now); r > 0 && !c.evicted && !c.delivering(now) {
			order = append(order, ranked{c, r})
		}
	}
	slices.SortFunc(order, func(x, y ranked) int { return cmp.Compare(y.rank, x.rank) })
	conns := make([]*Conn, len(order))
	for i, o := range order {
		conns[i] = o.conn
	}
	return conns
}

// evict closes a connection. What it holds is released when its goroutine ends.
func (b *Budget) evict(c *Conn, why reason) {
	c.evicted = true
	for _, n := range c.counts() {
		n.evicted++
	}
	b.closing += c.held
	if c.cut != nil {
		close(c.cut)
	}
	b.count(why)
	go c.abort() // Waits until the connection is not in use.
}

func (b *Budget) count(why reason) {
	meter.Count("clients.closed."+string(why), 1)
	b.closed[why]++
}

// sweep closes the connections that make too little progress, and logs what was
// closed.
func (b *Budget) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if gap := now - b.sweptAt - sweepInterval; gap > sweepInterval {
		b.paused += gap
		now -= gap
	}
	b.sweptAt = now
	for c := range b.conns {
		if why := c.expired(now, b.limits); why != none && !c.evicted {
			b.evict(c, why)
		}
	}
	if (len(b.closed) > 0 || b.refused > 0) && now-b.loggedAt >= logInterval {
		e := b.log.Warn().Int("connections", b.open).Int64("held_bytes", b.held).Int64("limit_bytes", b.limits.bytes).Int("refused", b.refused)
		for why, n := range b.closed {
			e = e.Int("closed_"+string(why), n)
		}
		e.Msg("connections of clients were closed or refused to bound memory, descriptors or time")
		b.loggedAt, b.refused = now, 0
		clear(b.closed)
	}
}

// UpdateGauges sets the gauges to the current state.
func (b *Budget) UpdateGauges() {
	b.mu.Lock()
	defer b.mu.Unlock()
	meter.Gauge("clients.connections", int64(b.open))
	meter.Gauge("clients.connections_limit", int64(b.limits.connections))
	meter.Gauge("clients.held_bytes", b.held)
	meter.Gauge("clients.held_bytes_limit", b.limits.bytes)
}
