package searcher

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one keep-alive connection. It notes whether any byte of the current
// request was written, because only then may the request have run.
type conn struct {
	net.Conn
	r     *bufio.Reader
	w     *bufio.Writer
	wrote atomic.Bool
	age   uint64 // Value of the pool's epoch when the connection was made.
}

func newConn(nc net.Conn, age uint64) *conn {
	c := &conn{Conn: nc, age: age}
	c.r = bufio.NewReader(nc)
	c.w = bufio.NewWriter(writeNoter{c})
	return c
}

type writeNoter struct{ c *conn }

func (w writeNoter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	if n > 0 {
		w.c.wrote.Store(true)
	}
	return n, err
}

// past interrupts reads and writes in progress when it is set as a deadline.
var past = time.Unix(1, 0)

func (c *conn) interrupt() { _ = c.SetDeadline(past) }

// clean reports whether an idle connection is open and has no unread bytes.
// Unread bytes are a second reply to an earlier request.
func (c *conn) clean() bool {
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
