package searchers

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is an accepted connection that can go silent: it then swallows what both
// sides send without an error.
type conn struct {
	net.Conn
	silent atomic.Bool
	cost   time.Duration
	paid   sync.Once
	closed sync.Once
	onEnd  func(*conn)
}

// Read delays the first byte by the cost of a new connection.
func (c *conn) Read(b []byte) (int, error) {
	c.paid.Do(func() { time.Sleep(c.cost) })
	n, err := c.Conn.Read(b)
	if c.silent.Load() && err == nil {
		_, err = io.Copy(io.Discard, c.Conn)
		if err == nil {
			err = io.EOF
		}
		return 0, err
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.closed.Do(func() { c.onEnd(c) })
	return c.Conn.Close()
}

// abort resets the connection, as a crashed process does.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
