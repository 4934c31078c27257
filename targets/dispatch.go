package targets

import (
	"time"

	"medlaryard.example/medlaryard/meter"
)

// transmission is one request that is to be written once the lock is released.
type transmission struct {
	conn  *conn
	bytes []byte
	large bool
}

// unlockAndSend places waiting calls, releases the lock and writes them.
func (g *Group) unlockAndSend(now time.Time) {
	sends := g.dispatch(now)
	g.mu.Unlock()
	for _, t := range sends {
		t.conn.send(t.bytes, t.large)
	}
}

// eligible reports whether t may get c at all.
func (g *Group) eligible(t *Target, c *Call) bool {
	return t.open() && !c.avoids(t) && (c.allow == nil || c.allow(t.entry)) &&
		(g.move == nil || g.move.permits(t.entry.version, c.newer))
}

func (g *Group) hasTarget(c *Call, now time.Time) bool {
	for _, t := range g.targets {
		if _, _, ok := g.coldFor(t, now); ok && g.eligible(t, c) {
			return true
		}
	}
	return false
}

// dispatch places waiting calls, in their order, on targets with a connection
// and makes connections for the others. A call without any target left ends.
func (g *Group) dispatch(now time.Time) []transmission {
	if len(g.waiting) == 0 {
		return nil
	}
	var sends []transmission
	left := g.waiting[:0]
	boot := g.clock.Boot()
	for _, c := range g.waiting {
		if c.req.deadline <= boot {
			g.finish(c, now, NotSent, "the caller's deadline has passed")
			continue
		}
		t, conn := g.choose(c, now)
		switch {
		case conn != nil:
			sends = append(sends, g.assign(c, t, conn, now, c.req.deadline-boot))
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
		wait, _, ok := g.coldFor(t, now)
		if !ok || !g.eligible(t, c) {
			continue
		}
		waitFor = t
		if t.crowded(now) {
			continue
		}
		if wait > 0 {
			g.wake(wait)
			continue
		}
		cost := t.cost(now, g.domain)
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
	if _, limited, _ := g.coldFor(best, now); limited && bestConn != nil {
		best.cold.take(now, g.cold)
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

// Placed returns the target of a call, when it got it, and whether it still has
// to answer; a call that waits has no target yet.
func (g *Group) Placed(c *Call) (target string, sent time.Time, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state != callSent {
		return "", time.Time{}, false
	}
	return c.target.id, c.sent, true
}

// assign gives a call to a target, which may work on it for the time that is left.
func (g *Group) assign(c *Call, t *Target, conn *conn, now time.Time, left time.Duration) transmission {
	c.state, c.target, c.conn, c.sent = callSent, t, conn, now
	conn.call = c
	conn.used = true
	t.calls = append(t.calls, c)
	b := g.protocol.Append(nil, c.req, t.entry.id, max(left, time.Millisecond))
	large := len(c.req.body) >= largeBody
	conn.writing = large
	return transmission{conn: conn, bytes: b, large: large}
}
