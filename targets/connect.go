package targets

import (
	"context"
	"net"
	"time"

	"medlaryard.example/medlaryard/meter"
)

// forget closes the idle connections of a target that has left. Requests that
// it works on are still answered.
func (g *Group) forget(t *Target) {
	t.gone = true
	g.log.Info().Str("service", g.service).Str("target", t.entry.id).Int("in_flight", len(t.calls)).Msg("target removed")
	g.trim(t)
}

// retire closes the connections beyond the first that have been idle for long.
// A daemon that starts anew then finds room below the cap, although targets
// still count the connections of its last run.
func (g *Group) retire(now time.Time) {
	for _, t := range g.targets {
		for len(t.conns) > 1 {
			c := t.stalest()
			if c == nil || now.Sub(c.idle) < spareIdle {
				break
			}
			g.drop(c)
		}
	}
}

// misdirected leaves a target alone for a while because another one answered at
// its address. Every further request there would be refused, and would count as
// a repeat at the other one's service.
func (g *Group) misdirected(t *Target) {
	if t.moved {
		return
	}
	t.moved = true
	g.log.Warn().Str("service", g.service).Str("target", t.entry.id).Str("address", t.address).
		Dur("rest", movedRest).Msg("another target has the address")
	g.trim(t)
	g.clock.AfterFunc(movedRest, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		t.moved = false
		g.prepare(t)
	})
}

// trim closes idle connections above the limit, all of them for a target that
// has left.
func (g *Group) trim(t *Target) {
	limit := g.limit
	if t.gone || t.moved {
		limit = 0
	}
	for len(t.conns) > limit {
		c := t.stalest()
		if c == nil {
			return
		}
		g.drop(c)
	}
}

// drop closes a connection; its reader then ends without a further effect.
func (g *Group) drop(c *conn) {
	c.closed = true
	c.target.removeConn(c)
	_ = c.Close() // Nothing is lost with an idle or given-up connection.
}

// prepare makes the first connection to a target before it is needed.
func (g *Group) prepare(t *Target) {
	if g.warm && !g.closed && !t.gone && t.accepts() && len(t.conns)+t.dialing == 0 {
		g.connect(t)
	}
}

// connect makes a connection in the background.
func (g *Group) connect(t *Target) {
	t.dialing++
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		meter.Count("target.connections", 1)
		nc, err := g.dial(ctx, t.address)
		g.connected(t, nc, err)
	}()
}

func (g *Group) connected(t *Target, nc net.Conn, err error) {
	g.mu.Lock()
	now := g.clock.Now()
	t.dialing--
	if err != nil {
		g.unreachable(t, err)
		g.unlockAndSend(now)
		return
	}
	if t.gone || g.closed {
		g.mu.Unlock()
		_ = nc.Close() // Made in vain.
		return
	}
	if t.down {
		g.log.Info().Str("service", g.service).Str("target", t.entry.id).Msg("target accepts connections again")
	}
	t.down = false
	c := newConn(t, nc, now)
	t.conns = append(t.conns, c)
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		c.read()
	}()
	g.unlockAndSend(now)
}

// unreachable marks a target down and tries it again after a growing delay.
func (g *Group) unreachable(t *Target, err error) {
	if len(t.conns) > 0 {
		// Others take up the cap; the connections that there are still serve.
		meter.Count("target.connection.refused", 1)
		t.refused++
		t.retry = g.clock.Now().Add(retryDelay(t.refused))
		return
	}
	meter.Count("target.unreachable", 1)
	if !t.down {
		g.log.Warn().Str("service", g.service).Str("target", t.entry.id).Err(err).Msg("target does not accept connections")
		g.reportCrash(t)
	}
	t.down = true
	t.refused++
	g.retryLater(t)
}

// reportCrash tells which requests were under way at a target that broke its
// connections and then accepts none.
func (g *Group) reportCrash(t *Target) {
	if g.clock.Now().Sub(t.broke) > crashWindow {
		return
	}
	for _, fingerprint := range t.suspects {
		g.onCrash(fingerprint)
	}
	t.suspects = nil
}

// retryLater tries to connect to a target again after a growing delay.
func (g *Group) retryLater(t *Target) {
	if t.gone || g.closed || t.dialing > 0 {
		return
	}
	g.clock.AfterFunc(retryDelay(t.refused), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if t.down && !t.gone && !g.closed && t.dialing == 0 {
			g.connect(t)
		}
	})
}

// retryDelay is the pause after that many failures in a row.
func retryDelay(failures int) time.Duration {
	return min(firstRetry<<min(max(failures-1, 0), 8), lastRetry)
}
