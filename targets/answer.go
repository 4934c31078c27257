package targets

import (
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/meter"
)

// wrote notes that a large body is on its way in full.
func (g *Group) wrote(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.writing = false
}

// finish ends a call and hands it back unless its sender has left.
func (g *Group) finish(c *Call, now time.Time, o Outcome, reason string) {
	if c.state == callDone {
		return
	}
	c.state = callDone
	c.outcome, c.reason, c.ended = o, reason, now
	if c.results != nil {
		c.results <- c
		return
	}
	c.release()
}

func (c *Call) release() {
	if c.response != nil {
		fasthttp.ReleaseResponse(c.response)
		c.response = nil
	}
}

// answered takes in a complete answer and reports whether the connection is
// read on.
func (g *Group) answered(conn *conn, resp *fasthttp.Response) bool {
	g.mu.Lock()
	now := g.clock.Now()
	c := conn.call
	if c == nil || conn.closed {
		meter.Count("target.answer.unasked", 1)
		if !conn.closed {
			g.drop(conn)
		}
		g.mu.Unlock()
		fasthttp.ReleaseResponse(resp)
		return false
	}
	outcome, mine := g.protocol.Judge(resp, c.req)
	if !mine {
		meter.Count("target.answer.foreign", 1)
		conn.spoiled = true
		g.mu.Unlock()
		fasthttp.ReleaseResponse(resp)
		return true
	}
	g.learn(c, now, outcome)
	conn.call = nil
	conn.target.removeCall(c)
	conn.target.refused = 0
	c.response = resp
	reuse := !resp.ConnectionClose() && !conn.spoiled && !conn.writing && conn.r.Buffered() == 0
	if k := keepAlive(string(resp.Header.Peek(fasthttp.HeaderKeepAlive))); k > 0 {
		conn.keep = k
	}
	g.finish(c, now, outcome, "")
	conn.idle = now
	if !reuse || conn.target.gone || conn.target.moved {
		g.drop(conn)
	} else {
		g.trim(conn.target)
	}
	open := !conn.closed
	g.unlockAndSend(now)
	return open
}

// learn updates what is known of a target by the outcome of a call.
func (g *Group) learn(c *Call, now time.Time, o Outcome) {
	latency := now.Sub(c.sent)
	ratio := float64(latency) / float64(c.pace.Median())
	switch o {
	case Answered:
		c.pace.Observe(latency)
		c.target.observe(now, ratio, false)
		g.reports.note(now, c.target.fingerprint, ratio, false)
	case Misdirected:
		g.misdirected(c.target)
	default:
		c.target.observe(now, 0, true)
		g.reports.note(now, c.target.fingerprint, 0, true)
	}
	if g.move != nil {
		g.move.count(c.target.entry.version, o != Answered && o.MayHaveRun() || ratio > slowAnswer)
	}
	meter.Count("target.outcome."+string(o), 1)
}

// connEnded takes a connection out and ends the call on it.
func (g *Group) connEnded(conn *conn, err error) {
	g.mu.Lock()
	now := g.clock.Now()
	c := conn.call
	t := conn.target
	if conn.closed {
		g.mu.Unlock()
		return // The group closed it itself.
	}
	conn.call = nil
	g.drop(conn)
	if c != nil {
		t.removeCall(c)
		t.suspect(c.req.fingerprint, now)
		if c.state == callSent {
			g.learn(c, now, Broken)
		}
		g.finish(c, now, Broken, err.Error())
	}
	if !conn.used && !t.gone {
		// A target at its cap accepts a connection and resets it.
		g.unreachable(t, err)
	} else {
		g.prepare(t)
	}
	g.unlockAndSend(now)
}
