package targets

import (
	"slices"

	"medlaryard.example/medlaryard/meter"
)

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
	g.waiting = slices.DeleteFunc(g.waiting, func(other *Call) bool { return other == c })
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
	ratio := float64(now.Sub(c.sent)) / float64(c.pace.Median())
	c.target.observe(now, ratio, true)
	g.reports.note(now, c.target.fingerprint, ratio, true)
	c.state = callDone
	c.conn.call = nil
	c.target.removeCall(c)
	g.drop(c.conn)
	g.unlockAndSend(now)
}
