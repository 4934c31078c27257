package targets

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/readbudget"
)

// handleBodyWritten records that a large body was written completely.
func (g *Group) handleBodyWritten(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.writing = false
}

// finish ends a call and delivers it to its results channel, or releases it if
// it was abandoned.
func (g *Group) finish(c *Call, now time.Time, o Outcome, reason string) {
	if c.state == callDone {
		return
	}
	c.observeEnd(o)
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
		readbudget.Release(c.response, nil)
		c.response = nil
	}
}

// handleResponse processes a complete answer. It reports whether the connection
// stays open for further answers. After an answer that names no request it is
// closed, since a second copy could not be told from the next answer.
func (g *Group) handleResponse(conn *conn, resp *fasthttp.Response) bool {
	g.mu.Lock()
	now := g.clock.Now()
	c := conn.call
	if c == nil || conn.closed {
		g.mu.Unlock()
		readbudget.Release(resp, nil)
		g.closeUnasked(conn)
		return false
	}
	outcome, match := g.protocol.Classify(resp, c.req)
	if match == Foreign {
		meter.Count("target.answer.foreign", 1)
		conn.desynchronized = true
		g.mu.Unlock()
		readbudget.Release(resp, nil)
		return true
	}
	if match == Unidentified && conn.identified {
		g.mu.Unlock()
		readbudget.Release(resp, nil)
		g.handleDisconnect(conn, errUnidentified)
		return false
	}
	conn.identified = match == Own
	g.recordOutcome(c, now, outcome)
	if outcome != Misdirected {
		g.recordNotice(conn.target, g.protocol.Notice(resp))
	}
	conn.call = nil
	conn.target.removeCall(c)
	conn.target.dialFailures = 0
	c.response = resp
	reuse := conn.identified && !resp.ConnectionClose() && !conn.desynchronized && !conn.writing && conn.r.Buffered() == 0
	if k := parseKeepAlive(string(resp.Header.Peek(fasthttp.HeaderKeepAlive))); k > 0 {
		conn.idleTimeout, conn.target.idleTimeout = k, k
	}
	g.finish(c, now, outcome, "")
	conn.idleSince = now
	if !reuse || conn.target.removed || conn.target.addressReused {
		g.closeConn(conn)
	} else {
		g.closeExcessConns(conn.target)
	}
	open := !conn.closed
	g.unlockAndSend(now)
	return open
}

// closeUnasked closes a connection on which bytes arrived although no request is in
// flight. They may never end, and the next request would wait for their end.
func (g *Group) closeUnasked(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	meter.Count("target.answer.unasked", 1)
	if !c.closed {
		g.closeConn(c)
	}
}

// errUnidentified ends a connection on which an answer names no request although
// an earlier one did: it may be a late copy of any earlier answer.
var errUnidentified = errors.New("answer names no request")

// recordOutcome updates the estimates of a target and of a version move with
// the outcome of a call.
func (g *Group) recordOutcome(c *Call, now time.Time, o Outcome) {
	latency := now.Sub(c.sent)
	ratio, weight := c.ratio(now), c.target.weight(c)
	switch o {
	case Answered:
		c.target.answeredAt = now
		if g.move == nil || g.move.isReference(c.target.entry.version) {
			c.routeLatency.Observe(latency)
			c.learn(now)
		}
		c.target.observe(now, ratio, weight, false)
		g.reports.record(now, c.target.fingerprint, ratio, false)
	case Misdirected:
		g.suspendMisdirected(c.target)
	default:
		c.target.observe(now, 0, weight, true)
		g.reports.record(now, c.target.fingerprint, 0, true)
	}
	if o != NotSent && o != Misdirected {
		g.judge(c, o != Answered || ratio > slowAnswerFactor)
	}
	meter.Count("target.outcome."+string(o), 1)
}

// recordNotice records what a target states about itself.
func (g *Group) recordNotice(t *Target, n Notice) {
	if n.leaving && !t.leaves() {
		g.log.Info().Str("service", g.service).Str("target", t.id).Msg("target leaves")
	}
	if n.pause > 0 {
		g.log.Info().Str("service", g.service).Str("target", t.id).Dur("pause", n.pause).Msg("target asks for a pause")
	}
	_, limited := g.notices.limit(t.fingerprint)
	g.notices.record(t.fingerprint, n)
	if n.limited != limited {
		g.log.Info().Str("service", g.service).Str("target", t.id).Bool("limited", n.limited).Float64("limit", n.limit).
			Msg("target begins or ceases to name a limit")
	}
}

// handleDisconnect removes a connection that has ended and ends the call on it.
func (g *Group) handleDisconnect(conn *conn, err error) {
	_ = conn.Close() // Ends a write that is under way.
	g.mu.Lock()
	for conn.call != nil && conn.call.write.underWay() {
		c := conn.call
		g.mu.Unlock()
		c.write.wait()
		g.mu.Lock()
	}
	now := g.clock.Now()
	c := conn.call
	t := conn.target
	if conn.closed {
		g.mu.Unlock()
		return // The group closed the connection itself.
	}
	conn.call = nil
	g.closeConn(conn)
	if c != nil && g.endBroken(c, now, err.Error()) == NotSent {
		c, conn.used = nil, conn.usedBefore
	}
	if conn.used || now.Sub(conn.opened) >= minIdleTimeout || t.breaking(now) {
		g.detectDoubt(conn, c, err, now)
	}
	if !conn.used && !t.removed {
		// A target at its connection cap accepts a connection and resets it.
		g.handleDialFailure(t, err)
	} else {
		g.ensureConn(t)
	}
	g.unlockAndSend(now)
}

// endBroken ends the call on a connection that has ended and returns its outcome:
// NotSent if no byte of its request was written.
func (g *Group) endBroken(c *Call, now time.Time, reason string) Outcome {
	o := Broken
	if c.write.unwritten() {
		o = NotSent
	} else {
		c.target.recordBroken(c, now)
	}
	c.target.removeCall(c)
	if c.state == callSent {
		g.recordOutcome(c, now, o)
	}
	g.finish(c, now, o, reason)
	return o
}
