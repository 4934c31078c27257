package targets

import (
	"context"
	"net"
	"time"

	"medlaryard.example/medlaryard/meter"
)

// removeTarget marks a target as removed and closes its idle connections. Calls
// in flight may still be answered.
func (g *Group) removeTarget(t *Target) {
	t.removed = true
	g.log.Info().Str("service", g.service).Str("target", t.entry.id).Int("in_flight", len(t.calls)).Msg("target removed")
	g.closeExcessConns(t)
}

// closeSpareConns closes connections beyond the first of each target that have
// been idle for spareIdleTimeout. This leaves room below the connection cap for
// a restarted daemon, because targets still count the connections of its
// previous run.
func (g *Group) closeSpareConns(now time.Time) {
	for _, t := range g.targets {
		for len(t.conns) > 1 {
			c := t.oldestIdleConn()
			if c == nil || now.Sub(c.idleSince) < spareIdleTimeout {
				break
			}
			g.closeConn(c)
		}
	}
}

// suspendMisdirected stops sending requests to a target for misdirectedPause,
// because another target answered at its address. Further requests would be
// refused and would count as extra sends to the other target's service.
func (g *Group) suspendMisdirected(t *Target) {
	if t.addressReused {
		return
	}
	t.addressReused = true
	g.log.Warn().Str("service", g.service).Str("target", t.entry.id).Str("address", t.address).
		Dur("rest", misdirectedPause).Msg("another target has the address")
	g.closeExcessConns(t)
	g.clock.AfterFunc(misdirectedPause, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		t.addressReused = false
		g.ensureConn(t)
	})
}

// closeExcessConns closes idle connections above the limit, or all of them if
// the target was removed, its address is used by another one or it leaves.
func (g *Group) closeExcessConns(t *Target) {
	limit := g.maxConns
	if t.removed || t.addressReused || t.leaves() {
		limit = 0
	}
	for len(t.conns) > limit {
		c := t.oldestIdleConn()
		if c == nil {
			return
		}
		g.closeConn(c)
	}
}

// closeConn closes a connection and removes it from its target. Its reading
// goroutine then ends, and handleDisconnect ignores the error.
func (g *Group) closeConn(c *conn) {
	c.closed = true
	c.target.removeConn(c)
	_ = c.Close() // No answer is expected on the connection any more.
}

// ensureConn opens the first connection to a target in advance if preconnect is
// set.
func (g *Group) ensureConn(t *Target) {
	if g.preconnect && !g.closed && t.available() && len(t.conns)+t.dialing == 0 {
		g.connect(t)
	}
}

// connect opens a connection to t in the background. It returns false if the daemon has
// as many as it may open.
func (g *Group) connect(t *Target) bool {
	if !g.connLimit.take(g) {
		return false
	}
	t.dialing++
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		nc, err := g.open(t)
		if err == nil && g.needsProbe(t) {
			g.handleProbe(t, g.probe(t, nc))
			_ = nc.Close() // Used for the probe only.
			nc, err = g.open(t)
		}
		if err != nil {
			g.connLimit.release(g)
		} else if g.connLimit != nil {
			nc = &limitedConn{Conn: nc, group: g}
		}
		g.handleDialResult(t, nc, err)
	}()
	return true
}

// open opens a connection to t.
func (g *Group) open(t *Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	meter.Count("target.connections", 1)
	return g.dial(ctx, t.address)
}

func (g *Group) handleDialResult(t *Target, nc net.Conn, err error) {
	g.mu.Lock()
	now := g.clock.Now()
	t.dialing--
	if err != nil {
		if len(t.conns) == 0 { // Otherwise the process lives on.
			t.absence = max(t.absence, absenceOf(err))
		}
		g.handleDialFailure(t, err)
		g.unlockAndSend(now)
		return
	}
	if t.removed || g.closed {
		g.mu.Unlock()
		_ = nc.Close() // No longer needed.
		return
	}
	if t.unreachable {
		g.log.Info().Str("service", g.service).Str("target", t.entry.id).Msg("target accepts connections again")
	}
	t.unreachable = false
	g.detectRestart(t, now)
	if t.doubt == unresolved && t.dialing == 0 && !g.connect(t) { // The doubt arose after this connection was opened.
		g.scheduleRetry(t)
	}
	c := newConn(t, nc, now)
	g.connections++
	c.number = g.connections
	t.conns = append(t.conns, c)
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		c.readResponses()
	}()
	g.unlockAndSend(now)
}

// handleDialFailure records a failed connection attempt. If the target has no
// other connection, it is marked unreachable and retried with exponential
// backoff.
func (g *Group) handleDialFailure(t *Target, err error) {
	if len(t.conns) > 0 {
		// Other daemons use up the connection cap; the existing connections
		// still work.
		meter.Count("target.connection.refused", 1)
		t.dialFailures++
		t.retryAt = g.clock.Now().Add(retryDelay(t.dialFailures))
		if t.doubt == unresolved {
			g.scheduleRetry(t)
		}
		return
	}
	meter.Count("target.unreachable", 1)
	if !t.unreachable {
		g.log.Warn().Str("service", g.service).Str("target", t.entry.id).Err(err).Msg("target does not accept connections")
		g.reportCrash(t, g.clock.Now())
	}
	t.unreachable = true
	t.dialFailures++
	g.scheduleRetry(t)
}

// scheduleRetry connects to a target that is unreachable or in doubt again after
// retryDelay.
func (g *Group) scheduleRetry(t *Target) {
	if t.removed || g.closed || t.dialing > 0 {
		return
	}
	g.clock.AfterFunc(retryDelay(t.dialFailures), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if (t.unreachable || t.doubt == unresolved) && !t.removed && !g.closed && t.dialing == 0 && !g.connect(t) {
			g.scheduleRetry(t)
		}
	})
}

// retryDelay returns the delay after the given number of consecutive failures.
// It doubles with each failure, from minRetryDelay up to maxRetryDelay.
func retryDelay(failures int) time.Duration {
	return min(minRetryDelay<<min(max(failures-1, 0), 8), maxRetryDelay)
}
