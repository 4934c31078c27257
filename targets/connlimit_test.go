package targets

import (
	"context"
	"net"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against connections to targets that take the descriptors of clients, and
// against a daemon that has none left for targets because clients have them.
func TestConnLimit(t *testing.T) {
	clients := 0
	l := NewConnLimit(10, 2, func() int { return clients })
	g := NewGroup("songs", Protocol{}, ConnectWithin(l))
	var got []int
	for _, clients = range []int{0, 4, 8, 20} {
		n := 0
		for l.take(g) {
			n++
		}
		got = append(got, n)
		for range n {
			l.release(g)
		}
	}
	if diff := cmp.Diff([]int{6, 4, 2, 2}, got); diff != "" {
		t.Errorf("connections beside 0, 4, 8 and 20 clients (-want +got):\n%s", diff)
	}
	if l.Open() != 0 || len(l.groups) != 0 {
		t.Errorf("%d connections of %d groups remain", l.Open(), len(l.groups))
	}
	l.Close()
}

// Guards against a service without connections because others keep idle ones.
func TestIdleConnectionsAreClosedForOtherGroups(t *testing.T) {
	l := NewConnLimit(2, 2, func() int { return 0 })
	dial := Dial(func(context.Context, string) (net.Conn, error) {
		nc, _ := net.Pipe()
		return nc, nil
	})
	entries := []Entry{NewEntry("t1", "first", "127.0.0.1:1"), NewEntry("t2", "first", "127.0.0.1:2")}
	first := NewGroup("first", Protocol{}, ConnectWithin(l), dial)
	defer first.Close()
	first.Resize(NewGroupLimits(2, ColdLimits{}, BudgetLimits{}, true))
	first.Update(entries)
	for l.Open() < 2 || len(first.idleSince()) < 2 {
		runtime.Gosched()
	}
	second := NewGroup("second", Protocol{}, ConnectWithin(l), dial)
	defer second.Close()
	for !l.take(second) {
		l.Close() // Waits until idle connections are closed.
	}
	l.release(second)
	if n := len(first.idleSince()); n >= 2 {
		t.Errorf("%d idle connections of the first group remain", n)
	}
}
