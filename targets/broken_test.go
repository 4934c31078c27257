package targets_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/targets"
)

// scriptedDial returns a dial function for connections on which respond is
// called for the first request.
func scriptedDial(respond func(conn net.Conn)) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			r := bufio.NewReader(server)
			var req fasthttp.Request
			if err := req.Read(r); err == nil {
				respond(server)
			}
		}()
		return client, nil
	}
}

// newSingleGroup returns a group with one target and one connection to it.
func newSingleGroup(opts ...targets.Option) *targets.Group {
	g := targets.NewGroup("s", platform.TargetProtocol(), opts...)
	g.Resize(targets.NewGroupLimits(1, targets.ColdLimits{}, targets.NewBudgetLimits(0.2, 54, 1), false))
	g.Update([]targets.Entry{targets.NewEntry("t", "s", "10.0.0.1:80")})
	return g
}

// ask sends one request and returns its call.
func ask(t *testing.T, g *targets.Group) *targets.Call {
	t.Helper()
	return askAs(t, g, "q")
}

// askAs sends one request with the given ID and returns its call.
func askAs(t *testing.T, g *targets.Group, id string) *targets.Call {
	t.Helper()
	results := make(chan *targets.Call, 1)
	req := targets.NewRequest(id, "GET", "/", "h", nil, nil, true, clock.System{}.Boot()+time.Hour)
	if !g.Submit(targets.NewCall(req, targets.NewLatencyEstimator(100*time.Millisecond), results)) {
		t.Fatal("the request is refused")
	}
	select {
	case c := <-results:
		return c
	case <-time.After(time.Minute):
		t.Fatal("no result within a minute")
		return nil
	}
}

// Guards against a success for an answer that its target broke off in the head
// or in the body.
func TestAnswerBrokenOff(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: q\r\n%s: s.q\r\n", platform.HeaderRequestID, platform.HeaderStamp)
	for name, c := range map[string]struct {
		answer string
		whole  int // Length of the shortest prefix that is a whole answer.
	}{
		"length":                          {head + "Content-Length: 5\r\n\r\nhello", -1},
		"empty":                           {head + "Content-Length: 0\r\n\r\n", -1},
		"chunked":                         {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", -1},
		"until the end of the connection": {head + "Connection: close\r\n\r\nhello", len(head + "Connection: close\r\n\r\n")},
	} {
		if c.whole < 0 {
			c.whole = len(c.answer)
		}
		for n := range len(c.answer) + 1 {
			synctest.Test(t, func(t *testing.T) {
				g := newSingleGroup(targets.Dial(scriptedDial(func(conn net.Conn) { _, _ = conn.Write([]byte(c.answer[:n])) })))
				got := ask(t, g)
				if answered := got.Outcome() == targets.Answered; answered != (n >= c.whole) {
					t.Errorf("%s, %d of %d bytes: %s, %q", name, n, len(c.answer), got.Outcome(), strings.TrimPrefix(c.answer[:n], head))
				}
				g.Close()
				time.Sleep(time.Minute)
			})
		}
	}
}

// Guards against a second copy of an answer that arrives late, when the next
// request is under way on its connection, and is delivered to that request. Only
// some of the answers name their request.
func TestLateSecondCopyDeliveredToNextRequest(t *testing.T) {
	answer := func(id string, named bool) string {
		name := ""
		if named {
			name = fmt.Sprintf("%s: %s\r\n", platform.HeaderRequestID, id)
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: s\r\nContent-Length: %d\r\n\r\n%s", name, platform.HeaderStamp, len(id), id)
	}
	for _, c := range []struct {
		name        string
		first, copy bool // Whether they name their request.
	}{
		{"no answer names its request", false, false}, {"only the copy does not", true, false}, {"both do", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newSingleGroup(targets.Dial(func(context.Context, string) (net.Conn, error) {
					client, server := net.Pipe()
					go func() {
						defer server.Close()
						r := bufio.NewReader(server)
						for previous := ""; ; {
							var req fasthttp.Request
							if err := req.Read(r); err != nil {
								return
							}
							if previous != "" {
								_, _ = server.Write([]byte(answer(previous, c.copy)))
							}
							previous = string(req.Header.Peek(platform.HeaderRequestID))
							_, _ = server.Write([]byte(answer(previous, c.first)))
						}
					}()
					return client, nil
				}))
				for _, id := range []string{"a", "b", "c"} {
					if got := askAs(t, g, id); got.Outcome() == targets.Answered && string(got.Response().Body()) != id {
						t.Errorf("request %s got the answer to request %s", id, got.Response().Body())
					}
					time.Sleep(100 * time.Millisecond)
				}
				g.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a request that is sent on a connection on which unasked bytes have
// begun to arrive, and waits for their end.
func TestRequestBehindUnaskedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSingleGroup(targets.Dial(func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer server.Close()
				var req fasthttp.Request
				r := bufio.NewReader(server)
				if req.Read(r) != nil {
					return
				}
				_, _ = fmt.Fprintf(server, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 0\r\n\r\n",
					platform.HeaderRequestID, req.Header.Peek(platform.HeaderRequestID), platform.HeaderStamp)
				time.Sleep(10 * time.Millisecond)
				for _, err := server.Write([]byte("HTTP/1.1 200 OK\r\n")); err == nil; time.Sleep(10 * time.Millisecond) {
					_, err = server.Write([]byte("X-Header: value\r\n"))
				}
			}()
			return client, nil
		}))
		for _, id := range []string{"a", "b", "c"} {
			if got := askAs(t, g, id); got.Outcome() != targets.Answered {
				t.Errorf("request %s: %s, %s; want an answer on a new connection", id, got.Outcome(), got.Reason())
			}
			time.Sleep(25 * time.Millisecond)
		}
		g.Close()
		time.Sleep(time.Minute)
	})
}

// Guards against bytes of a target that end the daemon, block a request, or count
// as a success although they hold no signed answer to it.
func FuzzMalformedAnswer(f *testing.F) {
	own := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: q\r\n%s: s\r\n", platform.HeaderRequestID, platform.HeaderStamp)
	for _, seed := range []string{
		"", "\x16\x03\x01", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		own + "Content-Length: 2\r\n\r\nok", own + "Content-Length: 9\r\n\r\nok", own + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		own + platform.HeaderLimit + ": NaN\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 x\r\nRetry-After: 1e999\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + own + "Content-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		synctest.Test(t, func(t *testing.T) {
			g := newSingleGroup(targets.Dial(scriptedDial(func(conn net.Conn) { _, _ = conn.Write(answer) })))
			c := ask(t, g)
			if c.Outcome() == targets.Answered && len(c.Response().Header.Peek(platform.HeaderStamp)) == 0 {
				t.Error("an answer without a signature counts as a success")
			}
			g.Close()
			time.Sleep(time.Minute)
		})
	})
}
