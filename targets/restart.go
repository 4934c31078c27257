package targets

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"medlaryard.example/medlaryard/meter"
)

// absence is what failed connection attempts show of the process at a target's
// address.
type absence int

const (
	// listening means that the process takes connections, or that it resets them
	// because they exceed its cap.
	listening absence = iota
	// silent means that nothing answers. The process may have ended, or the path to
	// it is cut.
	silent
	// stopped means that the VM refuses connections because no process listens.
	stopped
)

// absenceOf returns what a failed connection attempt shows.
func absenceOf(err error) absence {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return stopped
	case errors.Is(err, syscall.ECONNRESET):
		return listening
	}
	return silent
}

// A restart under the same ID shows in a target's entry too, but only once the
// store has passed it on. Until then, the target's connections show it:
//
//   - If the VM has refused connections, the process that takes them again is
//     another one, which is cold.
//   - If nothing has answered, or if all connections have broken, the process may be
//     another one. The target is in doubt: it gets no requests until its answer to
//     a probe states how long it is cold. Probes count as requests to a cold target,
//     so only the daemons that may send to it then send them. The others wait for
//     what these pass on.

// doubt is whether the process of a target may be another one than before.
type doubt int

const (
	noDoubt doubt = iota
	// unresolved means that the next connection is used for a probe.
	unresolved
	// held means that another daemon probes the target.
	held
)

// holdTime is how long a target is in doubt that other daemons probe. It spans two
// heartbeats.
const holdTime = 600 * time.Millisecond

// putInDoubt puts t in doubt until this daemon or another one has probed it.
func (g *Group) putInDoubt(t *Target) {
	if g.coldLimits.isSender(t.id, g.coldLimits.senderCount()) {
		t.doubt = unresolved
		return
	}
	if t.doubt == held {
		return
	}
	t.doubt = held
	g.clock.AfterFunc(holdTime, func() {
		g.mu.Lock()
		if t.doubt == held {
			t.doubt = noDoubt
		}
		g.unlockAndSend(g.clock.Now())
	})
}

// detectRestart limits a target that takes a connection again like a cold one if
// its VM has refused connections before.
func (g *Group) detectRestart(t *Target, now time.Time) {
	if t.absence == stopped {
		t.doubt = noDoubt
		g.recordRestart(t, now, g.coldLimits.warmUp)
	}
	t.absence = listening
}

// recordRestart limits a target that has restarted like a cold one.
func (g *Group) recordRestart(t *Target, now time.Time, coldFor time.Duration) {
	if coldFor <= 0 || g.coldLimits.rate == 0 {
		return
	}
	meter.Count("target.restarted", 1)
	g.log.Info().Str("service", g.service).Str("target", t.id).Dur("cold_for", coldFor).Msg("target has restarted")
	g.notices.recordRestart(t.fingerprint, now.Add(coldFor))
}

// minIdleTimeout is shorter than any idle timeout of a target.
const minIdleTimeout = 250 * time.Millisecond

// mayHaveExpired reports whether the target may have closed the idle connection
// because of its age.
func (c *conn) mayHaveExpired(now time.Time) bool {
	if timeout := max(c.idleTimeout, c.target.idleTimeout); timeout > 0 {
		return now.Sub(c.idleSince) > timeout-keepAliveMargin
	}
	return now.Sub(c.idleSince) >= minIdleTimeout
}

// breaking reports whether another connection broke so shortly before now that both
// may have broken together.
func (t *Target) breaking(now time.Time) bool { return now.Sub(t.lastBreak) <= crashWindow }

// detectDoubt puts a target in doubt whose connection c has broken, if no connection
// remains that was open before. The call is the one in flight on c, or nil. An idle
// connection may close because of its age; that raises no doubt.
func (g *Group) detectDoubt(c *conn, call *Call, err error, now time.Time) {
	t := c.target
	first := !t.breaking(now)
	if first && call == nil && c.mayHaveExpired(now) && !errors.Is(err, syscall.ECONNRESET) {
		return
	}
	if first {
		t.firstBreak = now
	}
	t.lastBreak = now
	survives := func(c *conn) bool { return c.opened.Before(t.firstBreak) }
	if !g.canProbe() || t.removed || slices.ContainsFunc(t.conns, survives) {
		return
	}
	g.putInDoubt(t)
	if t.doubt == unresolved && t.dialing == 0 && !g.closed && !g.connect(t) {
		g.scheduleRetry(t)
	}
}
