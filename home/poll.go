package home

import (
	"time"

	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/searcher"
)

const (
	// healthInterval lets a home detect a drain within 3 s even if one health
	// reply is lost. With 500 ms, health requests used 60% of an idle daemon's
	// processor time, which exceeded the limit of 1.9% of a core for control
	// traffic.
	healthInterval = time.Second
	// healthRetryInterval is the interval after a failed health request, so
	// that a drain is detected within 3 s after two lost replies in a row.
	healthRetryInterval = 250 * time.Millisecond
	// maxHealthFailures is the number of consecutive failed health requests
	// after which a searcher without replies to searches is marked down.
	maxHealthFailures = 2
	// drainHoldTime is how long a refusal because of a drain outweighs health
	// replies that do not report the drain.
	drainHoldTime = 30 * time.Second
	// actingIdleTimeout is the time without requests after which an acting home
	// stops its health polling.
	actingIdleTimeout = 10 * time.Second
)

// enablePolling starts health polling of all searchers of the group.
func (g *group) enablePolling() {
	if g.pollingEnabled {
		return
	}
	g.pollingEnabled = true
	for _, m := range g.members {
		g.startPolling(m)
	}
}

func (g *group) startPolling(m *member) {
	if !m.polling && !m.removed {
		m.polling = true
		g.pollMember(m)
	}
}

// pollMember sends one health request.
func (g *group) pollMember(m *member) {
	m.target.Health(func(h searcher.Health, f *searcher.Failure) {
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.set.clock.Boot()
		if f == nil {
			g.handleHealth(m, h, now)
		} else {
			g.handleHealthFailure(m, now)
		}
		g.schedulePoll(m, now)
		g.dispatch(now)
	})
}

// schedulePoll schedules the next health request to the searcher, or stops
// polling it.
func (g *group) schedulePoll(m *member, now time.Duration) {
	if g.share == lease.Acting && now-g.lastRequest > actingIdleTimeout {
		g.pollingEnabled = false
	}
	if m.removed || g.closed || !g.pollingEnabled {
		m.polling = false
		return
	}
	interval := healthInterval
	if m.failures > 0 && !m.down {
		interval = healthRetryInterval
	}
	m.pollTimer = g.set.clock.AfterFunc(g.set.jitter(interval), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if m.removed || g.closed {
			m.polling = false
			return
		}
		g.pollMember(m)
	})
}

// handleHealth processes a health reply. A reply that the searcher is cold or
// draining takes effect at once; a report of ready does not make a searcher
// warm. For the limit of requests in flight, a report of ready counts only while
// the searcher is neither warm nor known to be cold.
func (g *group) handleHealth(m *member, h searcher.Health, now time.Duration) {
	m.setBoot(h.Boot())
	m.reportedVersion, m.reportedState = h.Version(), h.State()
	m.failures, m.down = 0, false
	if h.State() == searcher.Draining {
		m.draining, m.drainUntil = true, 0
	} else if now >= m.drainUntil {
		m.draining = false
	}
	m.setLabels(h.Labels())
	if h.State() == searcher.Cold {
		meter.Count("home.chill.health", 1)
		m.warmup.markCold(now)
	}
}

// handleHealthFailure processes a failed health request. Recent replies to
// searches outweigh it.
func (g *group) handleHealthFailure(m *member, now time.Duration) {
	m.failures++
	if m.failures >= maxHealthFailures && now-m.lastReply > maxHealthFailures*healthInterval {
		g.markDown(m)
	}
}
