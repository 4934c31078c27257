package clientbudget

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/clock/clocktest"
)

// fixture is a budget of ten connections and 2 MiB with a manual clock.
type fixture struct {
	*Budget
	clock *clocktest.Manual
}

func newFixture() *fixture {
	c := clocktest.New()
	l := NewLimits(0, 0)
	l.bytes, l.connections = 2<<20, 10
	return &fixture{Budget: New(l, c, zerolog.Nop()), clock: c}
}

// conn returns a connection without a network, or nil if there is no room for it.
func (f *fixture) conn() *Conn {
	nc, _ := net.Pipe()
	c := &Conn{Conn: nc, budget: f.Budget, headLimit: func() int { return 16 << 10 }}
	if !f.add(c) {
		return nil
	}
	return c
}

// body lets a connection send a head and n bytes of a body.
func (f *fixture) body(n int64) (*Conn, error) {
	c := f.conn()
	c.StartRequest()
	return c, c.reserveBody(0, n)
}

// Guards against a budget that grows with the clients, that closes those that have
// just begun rather than those that wait, or that cuts requests that run.
func TestMemoryOfStalledClientsIsFreed(t *testing.T) {
	f := newFixture()
	first, _ := f.body(550 << 10)
	served, _ := f.body(550 << 10)
	if err := served.Run(false); err != nil {
		t.Fatal(err)
	}
	f.clock.Advance(time.Second)
	second, _ := f.body(550 << 10)
	f.clock.Advance(time.Second)
	third, err := f.body(550 << 10)
	got := []bool{err == nil, first.evicted, served.evicted, second.evicted, third.evicted}
	if diff := cmp.Diff([]bool{true, true, false, false, false}, got); diff != "" {
		t.Errorf("taken in; closed: first, running, second, third (-want +got):\n%s", diff)
	}
	for _, c := range []*Conn{first, second, served, third} {
		f.remove(c)
		if err := c.reserveBody(550<<10, 0); err != nil && !c.evicted {
			t.Error(err)
		}
		c.EndRequest()
	}
	if f.held != 0 || f.closing != 0 || f.evicted != 0 {
		t.Errorf("%d bytes held, %d closing on %d connections, want none", f.held, f.closing, f.evicted)
	}
}

// Guards against a large body that is taken in although nothing can be closed for it,
// and against small requests that are refused because of it.
func TestLargeBodyRefusedIfRequestsThatRunHoldAll(t *testing.T) {
	f := newFixture()
	for range 3 {
		c, err := f.body(600 << 10)
		if err = errors.Join(err, c.Run(true)); err != nil {
			t.Fatal(err)
		}
	}
	f.clock.Advance(time.Hour)
	large, small := f.conn(), f.conn()
	_, err := large.ReadBody(strings.NewReader(strings.Repeat("x", 300<<10)), 300<<10, 0)
	if !errors.Is(err, ErrExhausted) {
		t.Errorf("large body: %v, want %v", err, ErrExhausted)
	}
	if _, err := small.ReadBody(strings.NewReader("x"), 1, 0); err != nil {
		t.Errorf("small body: %v", err)
	}
}

// Guards against connections that take all descriptors, and against closing those
// whose request runs to make room.
func TestConnectionsAreBounded(t *testing.T) {
	f := newFixture()
	conns := make([]*Conn, 10)
	for i := range conns {
		conns[i] = f.conn()
		f.clock.Advance(time.Second)
	}
	if err := conns[0].Run(false); err != nil {
		t.Fatal(err)
	}
	if f.conn() == nil {
		t.Error("no room for a connection although nine are idle")
	}
	if conns[0].evicted || !conns[1].evicted || conns[9].evicted {
		t.Error("want the connection closed that is idle for longest")
	}
	for range 20 {
		if c := f.conn(); c != nil {
			_ = c.Run(false) // May fail if it was closed.
		}
	}
	if n := f.Connections(); n > 13 {
		t.Errorf("%d connections, the limit is 10 and some that are being closed", n)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.conns); n > 20 {
		t.Errorf("%d connections that their servers have not closed, the limit is 20", n)
	}
}

// Guards against a flood of connections that takes all processor time, and against a
// wait for the clients of a lost daemon, who connect at once.
func TestConnectionsAreAcceptedAtABoundedRate(t *testing.T) {
	f := newFixture()
	var got []time.Duration
	for range 12 {
		got = append(got, f.acceptDelay())
	}
	f.clock.Advance(time.Second)
	got = append(got, f.acceptDelay())
	want := append(make([]time.Duration, 10), time.Second/2000, 2*time.Second/2000, 0)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("delays (-want +got):\n%s", diff)
	}
}

// Guards against closing the connections of clients because the process was paused
// while they sent.
func TestPauseDoesNotCount(t *testing.T) {
	f := newFixture()
	f.clock.Advance(sweepInterval)
	f.sweep()
	c, _ := f.body(10)
	f.clock.Advance(time.Minute)
	f.sweep()
	if c.evicted {
		t.Error("a connection was closed after a pause of the process")
	}
	for range 31 {
		f.clock.Advance(sweepInterval)
		f.sweep()
	}
	if !c.evicted {
		t.Error("a connection without progress was not closed")
	}
}

// Guards against bodies that change on the way, buffers far beyond the body, and
// memory that stays counted after the request.
func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 5000, 16 << 10, 262144} {
		for _, length := range []int{size, -1} {
			f := newFixture()
			c := f.conn()
			want := bytes.Repeat([]byte("ab"), size)[:size]
			got, err := c.ReadBody(iotest.OneByteReader(bytes.NewReader(want)), int64(length), 262144)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("size %d, length %d: %d bytes and error %v", size, length, len(got), err)
			}
			if cap(got) > 2*size+unknownBody+1 || c.held < connBytes+int64(size)-uncountedBody {
				t.Errorf("size %d, length %d: buffer of %d bytes, %d counted", size, length, cap(got), c.held)
			}
			if c.EndRequest(); c.held != connBytes {
				t.Errorf("size %d, length %d: %d bytes stay counted", size, length, c.held-connBytes)
			}
		}
	}
}

// Guards against a body whose length takes memory before its bytes arrive.
func TestLengthAloneTakesNoMemory(t *testing.T) {
	f := newFixture()
	c := f.conn()
	r, w := io.Pipe()
	done := make(chan error, 1)
	go func() {
		_, err := c.ReadBody(r, 262144, 262144)
		done <- err
	}()
	if _, err := w.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	held := c.held
	f.mu.Unlock()
	if held > connBytes+firstBody {
		t.Errorf("%d bytes are counted for one byte of a body", held)
	}
	_ = w.Close() // Never fails.
	if err := <-done; err != nil {
		t.Error(err)
	}
}
