package home

import (
	"time"

	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/searcher"
)

const (
	// healthInterval keeps the time to learn of a drain within the promised 3 s
	// when a health answer is lost. At 500 ms health requests took 60% of an
	// idle daemon's processor time, which exceeded the 1.9% of a core for control.
	healthInterval = time.Second
	// healthRetry is the interval after a health request that failed, so that
	// two lost answers in a row still leave a drain known within 3 s.
	healthRetry = 250 * time.Millisecond
	// healthFailures is the number of failed health requests in a row after
	// which a searcher that does not answer searches either is given up.
	healthFailures = 2
	// drainHold is the time for which a refusal because of a drain outweighs
	// health answers that never admitted the drain.
	drainHold = 30 * time.Second
	// actingSleep is the time without requests after which an acting home stops
	// its health requests.
	actingSleep = 10 * time.Second
)

// wake starts the health requests of the group.
func (g *group) wake() {
	if g.awake {
		return
	}
	g.awake = true
	for _, m := range g.members {
		g.startPolls(m)
	}
}

func (g *group) startPolls(m *member) {
	if !m.polling && !m.removed {
		m.polling = true
		g.ask(m)
	}
}

// ask sends one health request.
func (g *group) ask(m *member) {
	m.target.Health(func(h searcher.Health, f *searcher.Failure) {
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.set.clock.Boot()
		if f == nil {
			g.healthy(m, h, now)
		} else {
			g.unhealthy(m, now)
		}
		g.next(m, now)
		g.dispatch(now)
	})
}

// next schedules the following health request of the searcher.
func (g *group) next(m *member, now time.Duration) {
	if g.share == lease.Acting && now-g.lastUse > actingSleep {
		g.awake = false
	}
	if m.removed || g.closed || !g.awake {
		m.polling = false
		return
	}
	interval := healthInterval
	if m.failures > 0 && !m.down {
		interval = healthRetry
	}
	m.poll = g.set.clock.AfterFunc(g.set.spread(interval), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if m.removed || g.closed {
			m.polling = false
			return
		}
		g.ask(m)
	})
}

// healthy takes in a health answer. It is believed when it speaks against the
// searcher; a claim to be ready only counts where nothing is known yet.
func (g *group) healthy(m *member, h searcher.Health, now time.Duration) {
	if m.boot != "" && m.boot != h.Boot() {
		m.renew()
		m.drainUntil = 0
	}
	m.boot, m.version, m.claimed = h.Boot(), h.Version(), h.State()
	m.failures, m.down = 0, false
	if h.State() == searcher.Draining {
		m.draining, m.drainUntil = true, 0
	} else if now >= m.drainUntil {
		m.draining = false
	}
	m.learn(h.Labels())
	if h.State() == searcher.Cold {
		meter.Count("home.chill.health", 1)
		m.warmth.chill(now)
	}
}

// unhealthy takes in a failed health request. Replies to searches outweigh it.
func (g *group) unhealthy(m *member, now time.Duration) {
	m.failures++
	if m.failures >= healthFailures && now-m.lastReply > healthFailures*healthInterval {
		g.lose(m)
	}
}
