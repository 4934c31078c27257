package clientbudget

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"medlaryard.example/medlaryard/clock"
)

// Listen returns a listener whose connections are counted. headLimit returns the
// largest size of a request head in bytes; it is called while a head is read.
func (b *Budget) Listen(l net.Listener, headLimit func() int, opts ...ListenOption) net.Listener {
	counted := &listener{Listener: l, budget: b, headLimit: headLimit}
	for _, o := range opts {
		o(counted)
	}
	return counted
}

// ListenOption sets an option of a listener.
type ListenOption func(*listener)

// MaxConnections bounds the connections of one listener. At the bound, connections of
// the same listener are closed as they are at that of all listeners. By default only the
// latter holds.
func MaxConnections(n int) ListenOption { return func(l *listener) { l.limit = n } }

// socketBufferBytes bounds what the system holds for a connection in each direction;
// it uses twice the value. By default it would hold some megabytes of an answer that
// the client does not take, which count toward the memory of the VM.
const socketBufferBytes = 128 << 10

// BoundSocketBuffers bounds the buffers of the connections that l accepts. It is not
// for listeners of other daemons, which transfer megabytes over long distances.
func (b *Budget) BoundSocketBuffers(l net.Listener) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return // A wrapped listener, whose connections have buffers of the default size.
	}
	raw, err := sc.SyscallConn()
	if err == nil {
		var sendErr, receiveErr error
		err = raw.Control(func(fd uintptr) {
			sendErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
			receiveErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
		})
		err = errors.Join(err, sendErr, receiveErr)
	}
	if err != nil {
		b.log.Warn().Err(err).Msg("the socket buffers of a listener cannot be bounded")
	}
}

type listener struct {
	net.Listener
	budget    *Budget
	headLimit func() int
	limit     int // Of its connections; 0 if there is none.

	connCount // Of its connections; the budget's lock guards it.
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if isExhausted(err) {
			// Some servers end at an error, and others wait without closing anything.
			l.budget.freeDescriptors()
			_ = clock.Sleep(context.Background(), l.budget.clock, exhaustedWait) // Never ends early.
			continue
		}
		if err != nil {
			return nil, err
		}
		if d := l.budget.acceptDelay(); d > 0 {
			_ = clock.Sleep(context.Background(), l.budget.clock, d) // Never ends early.
		}
		l.budget.heap.wait(connBytes, true, maxHeapWait, nil)
		c := &Conn{Conn: nc, budget: l.budget, listener: l, headLimit: l.headLimit, cut: make(chan struct{})}
		c.admitted.Store(connBytes)
		if l.budget.add(c) {
			l.budget.opened()
			return c, nil
		}
		_ = c.Close() // Nothing was sent on it.
	}
}

// exhaustedWait is the time between attempts to accept a connection while the process
// or the system has no descriptors or memory for it.
const exhaustedWait = 10 * time.Millisecond

func isExhausted(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

type connKey struct{}

// Configure makes s pass on the state of its connections and gives them to the
// handlers of their requests, see FromContext.
func Configure(s *http.Server) {
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		c, ok := nc.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			c.StartRequest()
		case http.StateIdle:
			c.EndRequest()
		case http.StateNew, http.StateHijacked, http.StateClosed:
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c, ok := nc.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
}

// FromContext returns the connection of a request, or nil if it is not counted. The
// methods for requests accept a nil Conn.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
