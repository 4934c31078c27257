package searchers

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is an accepted connection that can become silent: it then discards the
// data of both sides without an error.
type conn struct {
	net.Conn
	silent      atomic.Bool
	connectCost time.Duration
	delayOnce   sync.Once
	closeOnce   sync.Once
	onClose     func(*conn)
}

// Read delays the first read by connectCost.
func (c *conn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.connectCost) })
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
	c.closeOnce.Do(func() { c.onClose(c) })
	return c.Conn.Close()
}

// abort resets the connection, as the kernel does when a process crashes.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
