package searchers

import (
	"net"
	"sync"
)

// listener accepts at most the capped number of connections and closes the others.
type listener struct {
	net.Listener
	s *Searcher

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, cost: l.s.cfg.ConnectCost, onEnd: l.remove}
		if l.add(c) {
			return c, nil
		}
		c.abort()
	}
}

func (l *listener) add(c *conn) bool {
	if l.s.isDown() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := len(l.conns) < l.s.cfg.Connections
	if ok {
		l.conns[c] = struct{}{}
	}
	l.s.connected(ok, len(l.conns))
	return ok
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) all() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}
