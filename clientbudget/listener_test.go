package clientbudget

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// slowConn is a connection that is not closed until release is.
type slowConn struct {
	net.Conn
	release chan struct{}
}

// Close implements net.Conn.
func (c slowConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// Guards against a listener with a limit of its own that exceeds it, that closes the
// connections of others, or that keeps out clients while others send nothing.
func TestListenerLimit(t *testing.T) {
	f := newFixture()
	release := make(chan struct{})
	defer close(release)
	limited := f.Listen(nil, nil, MaxConnections(4)).(*listener)
	open := func(l *listener) *Conn {
		nc, _ := net.Pipe()
		c := &Conn{Conn: slowConn{nc, release}, budget: f.Budget, listener: l}
		if !f.add(c) {
			return nil
		}
		f.clock.Advance(time.Second)
		return c
	}
	other, first := open(nil), open(limited)
	for range 3 {
		open(limited)
	}
	last := open(limited)
	got := []any{last != nil, first.evicted, other.evicted, open(limited) != nil, limited.open, limited.evicted}
	f.remove(first)
	got = append(got, limited.open, limited.evicted)
	if diff := cmp.Diff([]any{true, true, false, false, 5, 2, 4, 1}, got); diff != "" {
		t.Errorf("last is taken in; closed: first, other; beyond the closing ones; open and closing, after one is closed (-want +got):\n%s", diff)
	}
}

// Guards against connections whose descriptors are free again and that keep others out
// until the server, which may wait after a refusal, closes them too.
func TestClosedDescriptorsAreFree(t *testing.T) {
	f := newFixture()
	first := f.conn()
	f.mu.Lock()
	f.evict(first, connections)
	f.mu.Unlock()
	for f.Connections() > 0 { // The test's time limit bounds the wait.
		time.Sleep(time.Millisecond)
	}
	f.mu.Lock()
	got := []int{len(f.conns), f.open, f.evicted}
	f.mu.Unlock()
	f.remove(first)
	got = append(got, len(f.conns), f.open, f.evicted)
	if diff := cmp.Diff([]int{1, 0, 0, 0, 0, 0}, got); diff != "" {
		t.Errorf("counted, with a descriptor, being closed; the same after the server's end (-want +got):\n%s", diff)
	}
}
