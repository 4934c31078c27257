package targets

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxAnswerBytes bounds the memory that one answer takes; answers are a few
	// kilobytes.
	maxAnswerBytes = 16 << 20
	// largeBody is the size from which a request's body is written beside
	// reading the answer, because it may not fit the buffers on the way.
	largeBody = 16 << 10
	// writeTimeout bounds the writing of a request without a large body, which
	// the socket's buffer takes at once.
	writeTimeout = 200 * time.Millisecond
	// readBuffer holds a usual answer's header and body.
	readBuffer = 4 << 10
)

// conn is one connection to a target. A goroutine reads it all the time, so
// its end and bytes that nobody asked for are noticed while it is idle.
type conn struct {
	net.Conn
	target *Target
	r      *bufio.Reader

	// The group's lock guards what follows.
	call    *Call
	writing bool          // A large body is being written.
	spoiled bool          // An answer to another request was read.
	closed  bool          // It left the target's list.
	idle    time.Time     // Since when it has waited for a request.
	keep    time.Duration // How long the target keeps it idle, 0 if not told.
	used    bool          // It has served a request.
}

func newConn(t *Target, nc net.Conn, now time.Time) *conn {
	return &conn{Conn: nc, target: t, r: bufio.NewReaderSize(nc, readBuffer), idle: now}
}

// read hands every answer to the group until the connection ends.
func (c *conn) read() {
	g := c.target.group
	for {
		if _, err := c.r.Peek(1); err != nil {
			g.connEnded(c, err)
			return
		}
		resp := fasthttp.AcquireResponse()
		resp.SkipBody = g.expectsNoBody(c)
		if err := resp.ReadLimitBody(c.r, maxAnswerBytes); err != nil {
			fasthttp.ReleaseResponse(resp)
			g.connEnded(c, err)
			return
		}
		if !g.answered(c, resp) {
			return
		}
	}
}

// send writes a request. Any failure ends the connection, which the reader
// reports.
func (c *conn) send(b []byte, large bool) {
	if large {
		go func() {
			if _, err := c.Write(b); err != nil {
				_ = c.Close() // The reader reports the end.
				return
			}
			c.target.group.wrote(c)
		}()
		return
	}
	err := c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = c.Write(b)
	}
	if err != nil {
		_ = c.Close() // The reader reports the end.
	}
}

// fresh reports whether a request that must not be lost may use the connection:
// the target will not have closed it for being idle.
func (c *conn) fresh(now time.Time) bool { return !c.used || now.Sub(c.idle) < freshFor }

// expired reports whether the target is about to close the idle connection.
func (c *conn) expired(now time.Time) bool {
	return c.keep > 0 && now.Sub(c.idle) > c.keep-keepMargin
}

const (
	// freshFor is a time for which no target closes an idle connection; the
	// shortest that targets show is 300 ms.
	freshFor = 200 * time.Millisecond
	// keepMargin covers the way of a request and the whole seconds in which
	// targets state their idle timeout.
	keepMargin = 300 * time.Millisecond
)

// keepAlive reads the idle timeout from the value of a Keep-Alive field, which
// is 0 if there is none.
func keepAlive(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, v, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
