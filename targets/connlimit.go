package targets

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"medlaryard.example/medlaryard/meter"
)

// ConnLimit bounds the connections to the targets of all groups of a daemon, so that
// requests for many services cannot take the descriptors that clients, the store and
// other daemons need. It is safe for concurrent use.
type ConnLimit struct {
	total      int        // Descriptors for targets and clients together.
	guaranteed int        // Those that targets may take whatever clients take.
	clients    func() int // Descriptors that clients take.

	mu         sync.Mutex
	open       int
	groups     map[*Group]int // Their open connections.
	reclaiming bool
	wg         sync.WaitGroup
}

// NewConnLimit returns a limit for a daemon that has total descriptors for targets and
// clients together. Connections to targets may take the guaranteed number of them, and
// half of those that clients, which take the number that f returns, leave over.
func NewConnLimit(total, guaranteed int, f func() int) *ConnLimit {
	return &ConnLimit{total: total, guaranteed: guaranteed, clients: f, groups: make(map[*Group]int)}
}

// take takes a connection for a group. If there is none left, it returns false and
// closes idle connections.
func (l *ConnLimit) take(g *Group) bool {
	if l == nil {
		return true
	}
	clients := l.clients()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.guaranteed+max(0, l.total-l.guaranteed-clients)/2 {
		l.open++
		l.groups[g]++
		return true
	}
	meter.Count("target.connection.limit", 1)
	l.reclaim()
	return false
}

// Open returns the number of connections.
func (l *ConnLimit) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *ConnLimit) release(g *Group) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if l.groups[g]--; l.groups[g] == 0 {
		delete(l.groups, g)
	}
}

// Reclaim closes idle connections if targets and clients together take more than all
// descriptors.
func (l *ConnLimit) Reclaim() {
	clients := l.clients()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open > l.guaranteed && l.open+clients >= l.total {
		l.reclaim()
	}
}

// reclaimFraction is the part of the connections that is closed at once, if they are
// idle, so that not each new one has to wait for another.
const reclaimFraction = 1.0 / 16

// reclaim closes the connections that are idle for longest, in the background because
// the caller may hold the lock of a group. The caller holds l.mu.
func (l *ConnLimit) reclaim() {
	if l.reclaiming {
		return
	}
	l.reclaiming = true
	n := 1 + int(reclaimFraction*float64(l.open))
	groups := slices.Collect(maps.Keys(l.groups))
	l.wg.Go(func() {
		closeIdle(groups, n)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.reclaiming = false
	})
}

// closeIdle closes the n connections of the groups that are idle for longest.
func closeIdle(groups []*Group, n int) {
	var since []time.Time
	for _, g := range groups {
		since = append(since, g.idleSince()...)
	}
	if len(since) == 0 {
		return
	}
	slices.SortFunc(since, time.Time.Compare)
	last := since[min(n, len(since))-1]
	for _, g := range groups {
		g.closeIdleSince(last)
	}
}

// Close waits until no connections are being closed.
func (l *ConnLimit) Close() { l.wg.Wait() }

// limitedConn is a connection that counts toward a limit until it is closed.
type limitedConn struct {
	net.Conn
	group *Group
	once  sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.group.connLimit.release(c.group) })
	return err
}

// idleSince returns the times since which the group's connections are idle.
func (g *Group) idleSince() []time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	var since []time.Time
	for _, t := range g.targets {
		for _, c := range t.conns {
			if c.call == nil {
				since = append(since, c.idleSince)
			}
		}
	}
	return since
}

// closeIdleSince closes the connections that are idle since the given time or longer.
func (g *Group) closeIdleSince(last time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		for _, c := range slices.Clone(t.conns) {
			if c.call == nil && !c.idleSince.After(last) {
				g.closeConn(c)
			}
		}
	}
}
