package clientbudget

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a listener with a limit of its own that exceeds it, that closes the
// connections of others, or that keeps out clients while others send nothing.
func TestListenerLimit(t *testing.T) {
	f := newFixture()
	limited := f.Listen(nil, nil, MaxConnections(4)).(*listener)
	open := func(l *listener) *Conn {
		nc, _ := net.Pipe()
		c := &Conn{Conn: nc, budget: f.Budget, listener: l}
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
