package targets

import (
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/meter"
)

// transmission is one request that is to be written once the lock is released.
type transmission struct {
	conn  *conn
	bytes []byte
	large bool
}

func transmit(ts []transmission) {
	for _, t := range ts {
		t.conn.send(t.bytes, t.large)
	}
}

// eligible reports whether t may get c at all.
func (g *Group) eligible(t *Target, c *Call) bool {
	return !t.gone && !t.entry.draining && !c.avoids(t) && (c.allow == nil || c.allow(t.entry)) &&
		(g.move == nil || g.move.permits(t.entry.version, c.newer))
}

func (g *Group) hasTarget(c *Call) bool {
	for _, t := range g.targets {
		if g.eligible(t, c) && !t.down {
			return true
		}
	}
	return false
}

// dispatch places waiting calls, in their order, on targets with a connection
// and makes connections for the others. A call without any target left ends.
func (g *Group) dispatch(now time.Time) []transmission {
	var sends []transmission
	left := g.waiting[:0]
	for _, c := range g.waiting {
		t, conn := g.choose(c, now)
		switch {
		case conn != nil:
			sends = append(sends, g.assign(c, t, conn, now))
		case t != nil:
			left = append(left, c)
		default:
			g.finish(c, now, NotSent, "no target accepts connections")
		}
	}
	clear(g.waiting[len(left):])
	g.waiting = left
	return sends
}

// sameCost is up to which part costs do not differ, since they are estimates.
const sameCost = 0.1

// choose returns the target with the least cost and its connection. Without a
// connection the call waits for one; without a target there is none to wait for.
func (g *Group) choose(c *Call, now time.Time) (*Target, *conn) {
	var best, waitFor *Target
	var bestConn *conn
	var bestCost float64
	dialCosts := float64(dialCost) / float64(c.pace.Median())
	g.turn++ // Among targets of the same cost each is the first in turn.
	for i := range g.targets {
		t := g.targets[(g.turn+i)%len(g.targets)]
		if !g.eligible(t, c) || t.down {
			continue
		}
		waitFor = t
		if t.crowded(now) {
			continue
		}
		if now.Before(t.coldTill) && !t.cold.ready(now, g.coldRate, g.daemons) {
			continue
		}
		cost := t.cost(now, g.zone)
		conn := t.idle(now, c.req.idempotent)
		if conn == nil {
			if t.dialing == 0 && (now.Before(t.retry) || !t.mayDial(g.limit) && t.stalest() == nil) {
				continue
			}
			cost += dialCosts
		}
		if best == nil || cost < bestCost*(1-sameCost) {
			best, bestConn, bestCost = t, conn, cost
		}
	}
	if best == nil {
		return waitFor, nil
	}
	if bestConn == nil && best.dialing == 0 {
		if !best.mayDial(g.limit) {
			g.makeRoom(best)
		}
		g.connect(best)
	}
	if bestConn != nil && now.Before(best.coldTill) {
		best.cold.take(now, g.coldRate, g.daemons)
	}
	return best, bestConn
}

// makeRoom closes an idle connection that is too old for a request, so that a
// new one can be made.
func (g *Group) makeRoom(t *Target) {
	if old := t.stalest(); old != nil {
		meter.Count("target.connection.replaced", 1)
		g.drop(old)
	}
}

// SentAt returns when a call was sent; false means that it waits or has ended.
func (g *Group) SentAt(c *Call) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.sent, c.state == callSent
}

// Placed returns the target of a call, when it got it, and whether it still has
// to answer.
func (g *Group) Placed(c *Call) (target string, sent time.Time, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state != callSent {
		return "", time.Time{}, false
	}
	return c.target.entry.id, c.sent, true
}

func (g *Group) assign(c *Call, t *Target, conn *conn, now time.Time) transmission {
	c.state, c.target, c.conn, c.sent = callSent, t, conn, now
	conn.call = c
	conn.used = true
	t.calls = append(t.calls, c)
	left := max(c.req.deadline.Sub(now), time.Millisecond)
	b := g.protocol.Append(nil, c.req, t.entry.id, left)
	large := len(c.req.body) >= largeBody
	conn.writing = large
	return transmission{conn: conn, bytes: b, large: large}
}

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
	if !reuse || conn.target.gone {
		g.drop(conn)
	} else {
		g.trim(conn.target)
	}
	sends := g.dispatch(now)
	closed := conn.closed
	g.mu.Unlock()
	transmit(sends)
	return !closed
}

// learn updates what is known of a target by the outcome of a call.
func (g *Group) learn(c *Call, now time.Time, o Outcome) {
	latency := now.Sub(c.sent)
	ratio := float64(latency) / float64(c.pace.Median())
	switch o {
	case Answered:
		c.pace.Observe(latency)
		c.target.observe(now, ratio, false)
	case Misdirected:
		// The address has another owner; the entry is about to be removed.
		c.target.observe(now, maxSlowness, true)
	default:
		c.target.observe(now, 0, true)
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
		t.suspect(c.req.print, now)
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
	sends := g.dispatch(now)
	g.mu.Unlock()
	transmit(sends)
}

// Abandon tells that nobody waits for a call's result any more. A call that
// was not sent is withdrawn. One that was sent may still be answered for a
// while, which keeps its connection and tells how the target fares; then its
// connection is closed, so that the target stops. With callerLeft set that
// happens soon.
func (g *Group) Abandon(c *Call, callerLeft bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.results = nil
	switch c.state {
	case callWaiting:
		g.withdraw(c)
	case callSent:
		now := g.clock.Now()
		wait := callerGrace
		if !callerLeft {
			wait = max(patience, patienceFactor*c.pace.Median()) - now.Sub(c.sent)
		}
		g.clock.AfterFunc(max(wait, 0), func() { g.giveUp(c) })
	case callDone:
		c.release()
	case callNew:
	}
}

// Withdraw takes back a call that waits. It reports false for a call that was
// sent or has ended.
func (g *Group) Withdraw(c *Call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state != callWaiting {
		return false
	}
	g.withdraw(c)
	return true
}

func (g *Group) withdraw(c *Call) {
	c.state = callDone
	for i, other := range g.waiting {
		if other == c {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
}

// giveUp closes the connection of a call that is still unanswered.
func (g *Group) giveUp(c *Call) {
	g.mu.Lock()
	if c.state != callSent || c.conn.closed {
		g.mu.Unlock()
		return
	}
	now := g.clock.Now()
	meter.Count("target.given_up", 1)
	c.target.observe(now, float64(now.Sub(c.sent))/float64(c.pace.Median()), true)
	c.state = callDone
	c.conn.call = nil
	c.target.removeCall(c)
	g.drop(c.conn)
	sends := g.dispatch(now)
	g.mu.Unlock()
	transmit(sends)
}
