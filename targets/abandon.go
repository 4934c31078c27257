package targets

import (
	"slices"

	"medlaryard.example/medlaryard/meter"
)

// Abandon releases a call whose result is no longer needed. A waiting call is
// removed from the queue. A call that was sent keeps its connection open until
// a timeout, so that a late answer still updates the estimates of the target.
// After the timeout the connection is closed, so that the target stops working
// on the request. With callerLeft set, the timeout is shorter.
func (g *Group) Abandon(c *Call, callerLeft bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.results = nil
	switch c.state {
	case callWaiting:
		g.dequeue(c)
	case callSent:
		now := g.clock.Now()
		wait := callerLeftGrace
		if !callerLeft {
			wait = max(minAbandonTimeout, abandonTimeoutFactor*c.typicalLatency()) - now.Sub(c.sent)
		}
		g.clock.AfterFunc(max(wait, 0), func() { g.closeUnanswered(c) })
	case callDone:
		c.release()
	case callNew:
	}
}

// Withdraw ends a call of which no byte was written. Unrun reports whether certainly
// no target has run or will run the call: it waited, its write had not begun, or it
// has ended without having run. Withdrawn reports whether it ended by this; then no
// result follows.
func (g *Group) Withdraw(c *Call) (unrun, withdrawn bool) {
	g.mu.Lock()
	switch c.state {
	case callWaiting:
		g.dequeue(c)
		withdrawn = true
	case callSent:
		if withdrawn = c.write.cancel(); withdrawn {
			c.observeEnd(NotSent)
			c.state, c.outcome = callDone, NotSent
			c.conn.call, c.conn.writing, c.conn.used = nil, false, c.conn.usedBefore
			c.target.removeCall(c)
			g.closeExcessConns(c.target)
		}
	case callDone:
		unrun = !c.outcome.MayHaveRun()
	case callNew:
		unrun = true
	}
	g.unlockAndSend(g.clock.Now())
	return unrun || withdrawn, withdrawn
}

func (g *Group) dequeue(c *Call) {
	c.state, c.outcome = callDone, NotSent
	g.waiting = slices.DeleteFunc(g.waiting, func(other *Call) bool { return other == c })
}

// closeUnanswered closes the connection of a call that is still unanswered and
// records a failure of its target.
func (g *Group) closeUnanswered(c *Call) {
	g.mu.Lock()
	if c.state != callSent || c.conn.closed {
		g.mu.Unlock()
		return
	}
	now := g.clock.Now()
	meter.Count("target.given_up", 1)
	ratio := c.ratio(now)
	c.learnUnanswered(now)
	c.target.observe(now, ratio, c.target.weight(c), true)
	g.reports.record(now, c.target.fingerprint, ratio, true)
	if c.lowerBound(now) > 1 {
		g.judge(c, true)
	}
	c.observeEnd(Broken)
	c.state, c.outcome = callDone, Broken
	c.conn.call = nil
	c.target.removeCall(c)
	g.closeConn(c.conn)
	g.unlockAndSend(now)
}
