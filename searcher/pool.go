package searcher

import (
	"context"
	"errors"
	"net"
	"sync"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/readbudget"
)

// connectionCap is the invariant that a pool opens no connection beyond its
// limit at that time.
const connectionCap invariant.Name = "searcher.connection_cap"

var errPoolClosed = errors.New("connection pool is closed")

// pool manages the connections to one searcher.
type pool struct {
	dial   func(ctx context.Context) (net.Conn, error)
	budget *readbudget.Budget

	mu     sync.Mutex
	limit  int
	open   int    // Number of connections open or being opened.
	epoch  uint64 // Connections from an earlier epoch are not reused.
	idle   []*conn
	busy   map[*conn]struct{}
	freed  chan struct{} // Closed and replaced whenever a connection may be available.
	closed bool
}

func newPool(limit int, b *readbudget.Budget, dial func(ctx context.Context) (net.Conn, error)) *pool {
	return &pool{dial: dial, budget: b, limit: limit, busy: make(map[*conn]struct{}), freed: make(chan struct{})}
}

// get returns an idle connection or opens one. If fresh is set, it always opens
// one. It waits while the limit is reached.
func (p *pool) get(ctx context.Context, fresh bool) (*conn, error) {
	for {
		c, wait, err := p.reserve(fresh)
		if err != nil || c != nil {
			return c, err
		}
		if wait == nil {
			return p.connect(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reserve returns an idle connection, or a channel to wait on if the limit is
// reached. It returns neither if it has reserved room for a new connection.
func (p *pool) reserve(fresh bool) (*conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errPoolClosed
	}
	for len(p.idle) > 0 && (!fresh || p.open >= p.limit) {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !fresh && p.open <= p.limit && c.epoch == p.epoch && c.isReusable() {
			p.busy[c] = struct{}{}
			return c, nil, nil
		}
		p.dropLocked(c)
	}
	if p.open >= p.limit {
		return nil, p.freed, nil
	}
	p.open++
	invariant.Check(connectionCap, p.open <= p.limit, "%d connections open, limit %d", p.open, p.limit)
	return nil, nil, nil
}

func (p *pool) connect(ctx context.Context) (*conn, error) {
	nc, err := p.dial(ctx)
	meter.Count("searcher.connection.made", 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		_ = nc.Close()
		err = errPoolClosed
	}
	if err != nil {
		p.open--
		p.wakeLocked()
		return nil, err
	}
	c := newConn(nc, p.epoch, p.budget)
	p.busy[c] = struct{}{}
	return c, nil
}

// put returns a connection to the pool. The caller sets reuse only if the
// connection is known to be open and has no reply outstanding.
func (p *pool) put(c *conn, reuse bool) {
	c.limits.EndAnswer()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
	if reuse && !p.closed && p.open <= p.limit && c.epoch == p.epoch && c.r.Buffered() == 0 {
		c.wrote.Store(false)
		c.used = true
		p.idle = append(p.idle, c)
		p.wakeLocked()
		return
	}
	p.dropLocked(c)
}

// invalidate closes the idle connections and prevents reuse of the busy ones.
// It is called after one connection turned out to be silent.
func (p *pool) invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
	p.trimLocked(0)
}

func (p *pool) resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.trimLocked(limit)
	p.wakeLocked()
}

func (p *pool) trimLocked(limit int) {
	for len(p.idle) > 0 && p.open > limit {
		p.dropLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
}

func (p *pool) dropLocked(c *conn) {
	_ = c.Close()
	p.open--
	p.wakeLocked()
}

func (p *pool) wakeLocked() {
	close(p.freed)
	p.freed = make(chan struct{})
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.trimLocked(0)
	for c := range p.busy {
		c.interrupt()
	}
	p.wakeLocked()
}
