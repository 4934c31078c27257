package searcher

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/readbudget"
)

// heldBytes counts the bytes that were read from connections that are still open,
// and keeps their greatest number.
type heldBytes struct {
	mu        sync.Mutex
	now, most int
}

func (h *heldBytes) add(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now += n
	h.most = max(h.most, h.now)
}

// heldConn adds the bytes that are read to held, until it is closed.
type heldConn struct {
	net.Conn
	held *heldBytes
	once sync.Once
	read int
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += n
	c.held.add(n)
	return n, err
}

func (c *heldConn) Close() error {
	c.once.Do(func() { c.held.add(-c.read) })
	return c.Conn.Close()
}

// Guards against a daemon that exceeds its memory because replies do not end: each
// within the limit on one reply, but too many of them at once.
func TestEndlessReplies(t *testing.T) {
	const (
		searcherCount = 60
		maxBytes      = 32 << 20
	)
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ begin, text string }{
		"no reply":        {"", "x"},
		"head":            {head, "X-Header: value\r\n"},
		"head line":       {head + "X-Header: ", "x"},
		"interim replies": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body to the end": {head + "Connection: close\r\n\r\n", "x"},
		"length":          {head + "Content-Length: 2000000000\r\n\r\n", "x"},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size":      {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			held := &heldBytes{}
			budget := readbudget.New()
			block := []byte(strings.Repeat(c.text, 1+(32<<10)/len(c.text)))
			dial := func(context.Context, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					defer server.Close()
					var req fasthttp.Request
					err := req.Read(bufio.NewReader(server))
					if err == nil {
						_, err = server.Write([]byte(c.begin))
					}
					for err == nil {
						_, err = server.Write(block)
					}
				}()
				return &heldConn{Conn: client, held: held}, nil
			}
			var results []<-chan callResult
			for range searcherCount {
				h := NewHTTP("searcher", WithDial(dial), WithReadBudget(budget))
				h.pool.resize(1)
				defer h.pool.close()
				out, _ := startCall(h, CallSpec{})
				results = append(results, out)
			}
			for i, out := range results {
				if o := <-out; o.failure == nil {
					t.Errorf("searcher %d: a reply without end is accepted", i)
				}
			}
			held.mu.Lock()
			defer held.mu.Unlock()
			if held.most > maxBytes {
				t.Errorf("%d bytes of %d replies were read at once, want at most %d", held.most, searcherCount, maxBytes)
			}
		})
	}
}
