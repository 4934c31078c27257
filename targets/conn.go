package targets

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/readbudget"
	"medlaryard.example/medlaryard/response"
)

const (
	// maxAnswerBytes bounds the body of one answer; answers are a few
	// kilobytes.
	maxAnswerBytes = 16 << 20
	// largeBodyBytes is the body size from which a request is written in its
	// own goroutine, because it may not fit the buffers between daemon and
	// target.
	largeBodyBytes = 16 << 10
	// writeTimeout bounds the write of a request without a large body, which
	// normally fits the socket's send buffer.
	writeTimeout = 200 * time.Millisecond
	// readBufferBytes is large enough for the header and body of a typical
	// answer.
	readBufferBytes = 4 << 10
)

// conn is one connection to a target. A goroutine reads it all the time, so
// that a disconnect or unsolicited bytes are detected while it is idle.
type conn struct {
	net.Conn
	target *Target
	number int // Distinguishes the connections of a group in logs.
	r      *bufio.Reader
	limits *readbudget.Reader // Below r.

	// The group's lock guards the fields below.
	call           *Call
	writing        bool // A large body is being written.
	desynchronized bool // An answer to another request was read; not to be reused.
	identified     bool // An answer on it named its request.
	closed         bool // The group closed it and removed it from its target.
	opened         time.Time
	idleSince      time.Time
	idleTimeout    time.Duration // The target's idle timeout, 0 if not stated.
	used           bool          // A request was sent on it.
	usedBefore     bool          // The same, before the present call.
}

func newConn(t *Target, nc net.Conn, now time.Time) *conn {
	limits := readbudget.NewReader(nc, t.group.readBudget)
	return &conn{Conn: nc, target: t, r: bufio.NewReaderSize(limits, readBufferBytes), limits: limits, opened: now, idleSince: now}
}

// readResponses passes every answer to the group until the connection ends.
func (c *conn) readResponses() {
	g := c.target.group
	defer c.limits.EndAnswer()
	for {
		c.limits.EndAnswer()
		if _, err := c.r.Peek(1); err != nil {
			g.handleDisconnect(c, err)
			return
		}
		expected, noBody := g.expectsAnswer(c)
		if !expected {
			g.closeUnasked(c)
			return
		}
		resp := fasthttp.AcquireResponse()
		resp.SkipBody = noBody
		if err := c.limits.ReadResponse(resp, c.r, maxAnswerBytes); err != nil {
			if reason := response.Reason(err); reason != "" {
				meter.Count("target.answer.malformed."+reason, 1)
			}
			readbudget.Release(resp, err)
			g.handleDisconnect(c, err)
			return
		}
		if !g.handleResponse(c, resp) {
			return
		}
	}
}

// errCancelled is the error of a write that was cancelled.
var errCancelled = errors.New("request was withdrawn")

// writeRequest writes the bytes of a call's request, followed by body if it is
// large, unless the call was cancelled. On an error it closes the connection; the reading goroutine then
// reports the end to the group.
func (c *conn) writeRequest(call *Call, b, body []byte) {
	if body != nil {
		go func() {
			if c.closeOn(call.write.run(func() (int, error) {
				// The end of the call bounds the write; the deadline of an earlier, small
				// request has passed.
				if err := c.SetWriteDeadline(time.Time{}); err != nil {
					return 0, err
				}
				return c.writeBoth(b, body)
			})) {
				c.target.group.handleBodyWritten(c)
			}
		}()
		return
	}
	c.closeOn(call.write.run(func() (int, error) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
		return c.Write(b)
	}))
}

// writeBoth writes head and body without a copy of either.
func (c *conn) writeBoth(head, body []byte) (int, error) {
	n, err := (&net.Buffers{head, body}).WriteTo(c.Conn)
	return int(n), err
}

// closeOn closes the connection if err is the error of a write, and reports
// whether there is no error.
func (c *conn) closeOn(err error) bool {
	if err != nil && !errors.Is(err, errCancelled) {
		_ = c.Close() // The reading goroutine reports the end.
	}
	return err == nil
}

// safeForNonIdempotent reports whether a non-idempotent request may use the
// connection: it is new and was not reset at once, or idle for too short a time to be
// closed by the target's idle timeout.
func (c *conn) safeForNonIdempotent(now time.Time) bool {
	if !c.used {
		return now.Sub(c.opened) >= unprovenTime
	}
	return now.Sub(c.idleSince) < safeIdleTime
}

// nearIdleTimeout reports whether the target may be about to close the idle
// connection.
func (c *conn) nearIdleTimeout(now time.Time) bool {
	return c.idleTimeout > 0 && now.Sub(c.idleSince) > c.idleTimeout-keepAliveMargin
}

const (
	// safeIdleTime is shorter than any target's idle timeout; the shortest is
	// 300 ms.
	safeIdleTime = 200 * time.Millisecond
	// unprovenTime is how long after it was opened an unused connection may be reset
	// by a target at its limit of connections. A request written before that may have
	// run as far as the daemon can tell.
	unprovenTime = 10 * time.Millisecond
	// keepAliveMargin covers the transmission of a request and the rounding of
	// the stated idle timeout to whole seconds.
	keepAliveMargin = 300 * time.Millisecond
)

// parseKeepAlive returns the idle timeout from the value of a Keep-Alive
// header, or 0 if it states none.
func parseKeepAlive(value string) time.Duration {
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
