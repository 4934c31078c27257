package clientbudget

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/clock"
)

// failingListener fails with the given errors before it accepts a connection.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		nc, _ := net.Pipe()
		return nc, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Guards against a server that ends, or accepts nothing more, because the process had
// no descriptor left for a connection.
func TestListenerOutlivesExhaustedDescriptors(t *testing.T) {
	exhausted := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	b := New(NewLimits(0, 0), clock.System{}, zerolog.Nop())
	nc, _ := net.Pipe()
	waiting := &Conn{Conn: nc, budget: b}
	if !b.add(waiting) {
		t.Fatal("no room for a connection")
	}
	l := b.Listen(&failingListener{errs: []error{exhausted, exhausted, net.ErrClosed}}, nil)
	_, err := l.Accept()
	b.mu.Lock()
	evicted := waiting.evicted
	b.mu.Unlock()
	if diff := cmp.Diff([]bool{true, true}, []bool{errors.Is(err, net.ErrClosed), evicted}); diff != "" {
		t.Errorf("the error of a closed listener is returned; a waiting connection is closed (-want +got):\n%s", diff)
	}
}

// Guards against connections that are being closed and, with those to targets, take more
// descriptors than there are for both.
func TestClosingConnectionsCountWithThoseToTargets(t *testing.T) {
	l := NewLimits(0, 1000)
	total, _ := l.Descriptors()
	b := New(l, clock.System{}, zerolog.Nop())
	const toTargets = 420
	b.ShareDescriptors(func() int { return toTargets }, func() {})
	for range 2 * total {
		nc, _ := net.Pipe()
		b.add(&Conn{Conn: nc, budget: b}) // Those beyond the bound are refused.
	}
	if n := b.Connections() + toTargets; n > total {
		t.Errorf("%d connections, there are descriptors for %d", n, total)
	}
}
