package clientbudget

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/clock"
)

// Guards against connections that are closed for a body which exceeds its limit, or
// for one that has no room even when they are closed.
func TestRefusedBodyClosesNoConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		length int64
		limit  int
		want   bool
	}{
		{"a body over its limit", 1 << 20, 256 << 10, true},
		{"a body over the budget, without a limit", 100 << 20, 0, true},
		{"a body that has no room beside requests that run", 1 << 20, 0, true},
		{"a body that has room once idle connections are closed", 910 << 10, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			running, err := f.body(1100 << 10)
			if err = errors.Join(err, running.Run(true)); err != nil {
				t.Fatal(err)
			}
			waiting := f.conn()
			f.clock.Advance(time.Hour)
			_, err = f.conn().ReadBody(strings.NewReader("x"), c.length, c.limit)
			if err == nil && c.want {
				t.Error("the body is taken in")
			}
			if kept := !waiting.evicted; kept != c.want {
				t.Errorf("other connection kept: %v, want %v", kept, c.want)
			}
		})
	}
}

// Guards against an answer that is cut on its way because the budget closes the
// connection, which is idle for the server once the system holds the rest.
func TestAnswerOnItsWayIsNotCut(t *testing.T) {
	const size = 100 << 10
	l := NewLimits(0, 0)
	l.bytes = 512 << 10
	b := New(l, clock.System{}, zerolog.Nop())
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.BoundSocketBuffers(listener)
	s := &http.Server{Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size)) // The client checks it.
	}), 1<<20)}
	Configure(s)
	done := make(chan error, 1)
	go func() { done <- s.Serve(b.Listen(listener, func() int { return 16 << 10 })) }()
	t.Cleanup(func() {
		_ = s.Close() // Closes the listener too.
		<-done
	})
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var answered *Conn
	for answered == nil { // The test's time limit bounds the wait.
		b.mu.Lock()
		for c := range b.conns {
			if c.phase == idle && c.served == 1 {
				answered = c
			}
		}
		b.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	b.mu.Lock()
	b.makeRoom(nil, b.limits.bytes-connBytes/2, b.now())
	b.mu.Unlock()
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if diff := cmp.Diff([]any{size, nil}, []any{len(body), err}); diff != "" {
		t.Errorf("bytes of the answer, error (-want +got):\n%s", diff)
	}
}
