package targets

import (
	"slices"
	"time"
)

// outageWindow is the time around a crash in which the ends of other targets are
// reported with it.
const outageWindow = 750 * time.Millisecond

// Crash is the end of a target while it worked on a request.
type Crash struct {
	group       *Group
	fingerprint uint64
	target      *Target
	at          time.Time
	trial       bool
	alone       bool
}

// Fingerprint returns the fingerprint of the request.
func (c Crash) Fingerprint() uint64 { return c.fingerprint }

// Target returns the fingerprint of the target.
func (c Crash) Target() uint64 { return c.target.fingerprint }

// TargetID returns the ID of the target.
func (c Crash) TargetID() string { return c.target.id }

// Service returns the service of the target.
func (c Crash) Service() string { return c.group.service }

// Trial reports whether the request was on trial.
func (c Crash) Trial() bool { return c.trial }

// Alone reports whether the target worked on no other request of this daemon.
func (c Crash) Alone() bool { return c.alone }

// Others returns the fingerprints of the other targets of the service that ended at the
// time of the crash, and the number of those that certainly did not: they have a
// connection that is older than the crash. It takes the group's lock.
func (c Crash) Others() (ended []uint64, survived int) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	for _, t := range c.group.targets {
		switch {
		case t == c.target || t.removed:
		case !t.endedAt.IsZero() && c.at.Sub(t.endedAt).Abs() <= outageWindow:
			ended = append(ended, t.fingerprint)
		case slices.ContainsFunc(t.conns, func(conn *conn) bool { return conn.opened.Before(c.at) }):
			survived++
		}
	}
	return ended, survived
}

// brokenCall is a call whose connection broke.
type brokenCall struct {
	fingerprint uint64
	trial       bool
}

// maxBrokenCalls bounds the calls kept of one crash; a target has fewer connections
// than that.
const maxBrokenCalls = 16

// recordBroken records a call whose connection broke, in case the target has crashed.
func (t *Target) recordBroken(c *Call, now time.Time) {
	if now.Sub(t.brokenAt) > crashWindow {
		t.broken = nil
	}
	t.brokenAt = now
	if len(t.broken) < maxBrokenCalls {
		t.broken = append(t.broken, brokenCall{fingerprint: c.req.fingerprint, trial: c.trial})
	}
}

// reportCrash calls onCrash for each request that was in flight at a target
// whose connections broke shortly before it stopped accepting connections.
func (g *Group) reportCrash(t *Target, now time.Time) {
	t.endedAt = now
	if now.Sub(t.brokenAt) > crashWindow {
		return
	}
	for _, b := range t.broken {
		g.onCrash(Crash{
			group: g, fingerprint: b.fingerprint, target: t, at: now, trial: b.trial,
			alone: !slices.ContainsFunc(t.broken, func(other brokenCall) bool { return other.fingerprint != b.fingerprint }),
		})
	}
	t.broken = nil
}
