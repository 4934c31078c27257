package searcher

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"medlaryard.example/medlaryard/readbudget"
)

// conn is one keep-alive connection. It records whether any byte of the current
// request was written, because the request cannot have run otherwise.
type conn struct {
	net.Conn
	r      *bufio.Reader
	limits *readbudget.Reader // Below r.
	w      *bufio.Writer
	wrote  atomic.Bool
	epoch  uint64 // pool.epoch at the time of the connect.

	used bool // An exchange has ended on it.
}

func newConn(nc net.Conn, epoch uint64, b *readbudget.Budget) *conn {
	c := &conn{Conn: nc, epoch: epoch, limits: readbudget.NewReader(nc, b)}
	c.r = bufio.NewReader(c.limits)
	c.w = bufio.NewWriter(writeTracker{c})
	return c
}

// writeTracker sets conn.wrote once a byte reaches the connection.
type writeTracker struct{ c *conn }

func (w writeTracker) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	if n > 0 {
		w.c.wrote.Store(true)
	}
	return n, err
}

// expiredDeadline is in the past; setting it as a deadline interrupts reads and
// writes in progress.
var expiredDeadline = time.Unix(1, 0)

func (c *conn) interrupt() { _ = c.SetDeadline(expiredDeadline) }

// isReusable reports whether an idle connection is open and has no unread
// bytes. Unread bytes belong to a second reply to an earlier request.
func (c *conn) isReusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}
