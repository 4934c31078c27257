package searchers

import (
	"net"
	"sync"
)

// listener resets new connections while the searcher is down or has as many open
// connections as Config.Connections.
type listener struct {
	net.Listener
	searcher *Searcher

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, connectCost: l.searcher.cfg.ConnectCost, onClose: l.remove}
		if l.add(c) {
			return c, nil
		}
		c.abort()
	}
}

func (l *listener) add(c *conn) bool {
	if l.searcher.isDown() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := len(l.conns) < l.searcher.cfg.Connections
	if ok {
		l.conns[c] = struct{}{}
	}
	l.searcher.recordConnection(ok, len(l.conns))
	return ok
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}
