package targets

import (
	"time"

	"medlaryard.example/medlaryard/meter"
)

// pendingWrite is a request to be written once the lock is released.
type pendingWrite struct {
	call  *Call
	conn  *conn
	bytes []byte
	body  []byte // A large body, which follows bytes; nil if bytes contains the body.
}

// unlockAndSend assigns waiting calls to targets, releases the lock and writes
// their requests.
func (g *Group) unlockAndSend(now time.Time) {
	sends := g.dispatch(now)
	g.mu.Unlock()
	for _, w := range sends {
		w.conn.writeRequest(w.call, w.bytes, w.body)
	}
}

// eligible reports whether t may get c, apart from its limits and load.
func (g *Group) eligible(t *Target, c *Call) bool {
	return t.available() && !c.avoids(t) && (c.allow == nil || c.allow(t.entry)) &&
		(g.move == nil || g.move.permits(t.entry.version, c.toNewVersion))
}

// hasTarget reports whether some target may get c before its deadline.
func (g *Group) hasTarget(c *Call, now time.Time) bool {
	boot := g.clock.Boot()
	for _, t := range g.targets {
		if g.allowance(t, now).permits(c.req.deadline-boot) && g.eligible(t, c) {
			return true
		}
	}
	return false
}

// dispatch assigns waiting calls, in queue order, to targets with an idle
// connection and opens connections for the others. A call ends as NotSent if
// its deadline has passed or no target is eligible.
func (g *Group) dispatch(now time.Time) []pendingWrite {
	if len(g.waiting) == 0 {
		return nil
	}
	g.fair.order(g.waiting)
	g.shares.promote(g.waiting)
	var sends []pendingWrite
	remaining := g.waiting[:0]
	boot := g.clock.Boot()
	for _, c := range g.waiting {
		if c.req.deadline <= boot {
			g.finish(c, now, NotSent, "the caller's deadline has passed")
			continue
		}
		t, conn := g.chooseTarget(c, now, c.req.deadline-boot)
		switch {
		case conn != nil:
			g.fair.sent(c)
			if c.predicted != nil && c.purpose != Retry && c.purpose != Hedge {
				g.shares.send(c.priority)
			}
			sends = append(sends, g.assign(c, t, conn, now, c.req.deadline-boot))
		case t != nil:
			remaining = append(remaining, c)
		default:
			g.finish(c, now, NotSent, "no target accepts connections")
		}
	}
	clear(g.waiting[len(remaining):])
	g.waiting = remaining
	return sends
}

// connLimitWait is the time between attempts to open a connection while the daemon has
// as many as it may open.
const connLimitWait = 10 * time.Millisecond

// scheduleDispatch calls dispatch after d, when a target with a limit may get
// another request, unless an earlier call is due.
func (g *Group) scheduleDispatch(now time.Time, d time.Duration) {
	at := now.Add(d)
	if g.closed || !g.dispatchAt.IsZero() && !at.Before(g.dispatchAt) {
		return
	}
	g.dispatchAt = at
	g.clock.AfterFunc(d, func() {
		g.mu.Lock()
		if g.dispatchAt.Equal(at) {
			g.dispatchAt = time.Time{}
		}
		g.unlockAndSend(g.clock.Now())
	})
}

// chooseTarget returns the target that the group's placement selects and an idle
// connection to it. If the connection is nil, the call has to wait; if the target
// is nil too, no target can serve the call within the time left until its deadline.
// It opens a connection if the target has no idle one, and takes tokens from the
// buckets of a target with limits.
func (g *Group) chooseTarget(c *Call, now time.Time, left time.Duration) (*Target, *conn) {
	var waitFor *Target
	median := c.routeLatency.Median()
	g.candidates, g.choices = g.candidates[:0], g.choices[:0]
	g.rotation++ // Rotates the preference among targets of equal cost.
	for i := range g.targets {
		t := g.targets[(g.rotation+i)%len(g.targets)]
		allowed := g.allowance(t, now)
		if !allowed.permits(left) || !g.eligible(t, c) {
			continue
		}
		waitFor = t
		if t.slowAndBusy(now) {
			continue
		}
		if allowed.wait > 0 {
			g.scheduleDispatch(now, allowed.wait)
			continue
		}
		candidate := t.candidate(now, median, c.Expected())
		candidate.retry = c.purpose == Retry || c.purpose == Hedge
		conn := t.idleConn(now, c)
		opening := t.dialing > 0
		if conn == nil {
			if wait := t.untilProven(now, c); wait > 0 {
				opening = true
				g.scheduleDispatch(now, wait)
			}
			if !opening && (now.Before(t.retryAt) || !t.mayDial(g.maxConns) && t.oldestIdleConn() == nil) {
				continue
			}
			candidate.dial = dialTime
		}
		g.candidates, g.choices = append(g.candidates, candidate), append(g.choices, choice{t, conn, opening})
	}
	if len(g.choices) == 0 {
		return waitFor, nil
	}
	i := g.placement.Choose(g.candidates)
	best, bestConn := g.choices[i].target, g.choices[i].conn
	if bestConn == nil && !g.choices[i].opening {
		if !best.mayDial(g.maxConns) {
			g.replaceIdleConn(best)
		}
		if !g.connect(best) {
			g.scheduleDispatch(now, connLimitWait)
		}
	}
	if bestConn != nil {
		g.spendAllowance(best, now)
		g.countDifference(c, i)
	}
	return best, bestConn
}

// choice is a target that may get a request now, and an idle connection to it or
// nil.
type choice struct {
	target  *Target
	conn    *conn
	opening bool // A connection is being opened or not yet proven.
}

// countDifference counts a placement by cost, and whether it differs from that at
// the target with the fewest calls.
func (g *Group) countDifference(c *Call, chosen int) {
	if c.predicted == nil {
		return
	}
	meter.Count("placement.placed", 1)
	if least := (LeastCalls{}).Choose(g.candidates); g.candidates[least].calls < g.candidates[chosen].calls {
		meter.Count("placement.not_least_calls", 1)
	}
}

// replaceIdleConn closes an idle connection that is too old for a request, so
// that a new one can be opened within the limit.
func (g *Group) replaceIdleConn(t *Target) {
	if old := t.oldestIdleConn(); old != nil {
		meter.Count("target.connection.replaced", 1)
		g.closeConn(old)
	}
}

// Assignment returns the ID of the target that a call was sent to, the time of
// sending and whether the call is still unanswered. If open is false, the other
// results are zero.
func (g *Group) Assignment(c *Call) (target string, sent time.Time, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state != callSent {
		return "", time.Time{}, false
	}
	return c.target.id, c.sent, true
}

// assign assigns a call to a target and returns its encoded request. Left is
// the time until the caller's deadline.
func (g *Group) assign(c *Call, t *Target, conn *conn, now time.Time, left time.Duration) pendingWrite {
	c.state, c.target, c.conn, c.sent = callSent, t, conn, now
	if c.observer != nil {
		c.observer.Sent()
	}
	conn.call = c
	conn.usedBefore, conn.used = conn.used, true
	t.calls = append(t.calls, c)
	t.beginWork(now)
	w := pendingWrite{call: c, conn: conn, bytes: g.protocol.AppendHead(nil, c.req, t.entry.id, max(left, time.Millisecond))}
	if len(c.req.body) >= largeBodyBytes {
		conn.writing, w.body = true, c.req.body // Not copied: each part of an answer sends it.
	} else {
		conn.writing, w.bytes = false, append(w.bytes, c.req.body...)
	}
	return w
}
