package clientbudget

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a head that is read on after a piece of it was dropped for lack of
// memory. Servers parse what they have read before an error and then read again, so
// what the client sent as a body could run as a request. Guards also against a client
// that gets no answer in that case.
func TestNothingIsReadAfterDroppedPiece(t *testing.T) {
	const want = "HTTP/1.1 503 Service Unavailable\r\n"
	const smuggled = "GET / HTTP/1.1\r\n\r\n"
	f := newFixture()
	running, err := f.body(f.limits.bytes - connBytes - 40<<10)
	if err = errors.Join(err, running.Run(true)); err != nil {
		t.Fatal(err)
	}
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() }) // The reads have ended.
	c := &Conn{Conn: server, budget: f.Budget, headLimit: func() int { return 16 << 10 }}
	if !f.add(c) {
		t.Fatal("no room for the connection")
	}
	go func() {
		for _, piece := range []string{"POST / HTTP/1.1\r\nX-Pa", strings.Repeat("a:\r\n", 1000), smuggled} {
			_, _ = io.WriteString(client, piece) // Fails when the test ends.
		}
	}()
	answer := make(chan string)
	go func() {
		line, _ := bufio.NewReader(client).ReadString('\n') // Ends with the test.
		answer <- line
	}()
	buf := make([]byte, headSlack)
	var got []bool
	for range 3 {
		n, err := c.Read(buf)
		got = append(got, n > 0 && err == nil)
	}
	if diff := cmp.Diff(want, <-answer); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
		t.Errorf("pieces that were read (-want +got):\n%s", diff)
	}
}
