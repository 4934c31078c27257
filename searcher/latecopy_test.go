package searcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/refusal"
)

// copyingSearcher refuses the first call on each connection. It runs the next one,
// but sends the refusal again first. It passes the ID of each call that runs to
// ran.
func copyingSearcher(l net.Listener, named bool, ran chan<- string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			var first, second fasthttp.Request
			if first.Read(r) != nil {
				return
			}
			name := ""
			if named {
				name = fmt.Sprintf("X-Request-Id: %s\r\n", first.Header.Peek("X-Request-Id"))
			}
			refused := "HTTP/1.1 503 Service Unavailable\r\nX-Ran: no\r\n" + name + "Content-Length: 0\r\n\r\n"
			fmt.Fprint(c, refused)
			if second.Read(r) != nil {
				return
			}
			ran <- string(second.Header.Peek("X-Request-Id"))
			fmt.Fprint(c, refused)
			_, _ = io.Copy(io.Discard, r) // The call still runs when the connection closes.
		}()
	}
}

// Guards against a late second copy of a refusal that is taken for the reply to
// the next call on its connection, so that a call that runs is reported as not
// run (REFUSED).
func TestLateCopyOfRefusalHidesRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		named bool
	}{{"named", true}, {"unnamed", false}} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ran := make(chan string, 2)
			go copyingSearcher(l, c.named, ran)
			h := NewHTTP(l.Addr().String())
			h.pool.resize(1)
			defer func() {
				h.pool.close()
				_ = l.Close()
			}()
			for _, id := range []string{"q1", "q2"} {
				out, _ := startCall(h, CallSpec{ID: id})
				o := <-out
				if o.failure == nil {
					t.Fatalf("call %s was answered, want a failure", id)
				}
				select {
				case <-ran:
					if o.failure.Ran() == refusal.NotRun {
						t.Errorf("call %s runs and is reported as not run: %v", id, o.failure)
					}
				default:
					if o.failure.Ran() != refusal.NotRun {
						t.Errorf("call %s has not run and is reported as %s: %v", id, o.failure.Ran(), o.failure)
					}
				}
			}
		})
	}
}
