package home

import (
	"context"

	"medlaryard.example/medlaryard/lease"
)

// Release stops new sends to the groups, waits until nothing is in flight and
// returns what is known about their searchers. Groups that still have requests
// in flight when ctx ends are missing from the result. A group that the daemon
// is not home of is released without estimates.
func (s *Set) Release(ctx context.Context, groups []string) []Released {
	for _, id := range groups {
		if g := s.group(id); g != nil {
			g.stop()
		}
	}
	var out []Released
	for _, id := range groups {
		g := s.group(id)
		if g == nil {
			out = append(out, NewReleased(id, nil))
			continue
		}
		if g.waitDrained(ctx) {
			out = append(out, g.knowledge())
		}
	}
	return out
}

// waitDrained reports whether the group drained before ctx ended; a group that
// has nothing in flight counts as drained even after that.
func (g *group) waitDrained(ctx context.Context) bool {
	drained := g.drained()
	select {
	case <-drained:
		return true
	default:
	}
	select {
	case <-drained:
		return true
	case <-ctx.Done():
		return false
	}
}

// ImportEstimates starts the group's estimates from those of the previous home. It may
// come before the assignment that makes this daemon the home.
func (s *Set) ImportEstimates(group string, r Released) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[group]; g != nil {
		g.adopt(r)
		return
	}
	s.adopted[group] = adoption{released: r, at: s.clock.Boot()}
}

// stop ends the home role before the assignment says so.
func (g *group) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
	g.flush()
}

// shut stops the group for good.
func (g *group) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
	g.flush()
	g.closeLocked()
}

// drained returns a channel that is closed when nothing is in flight.
func (g *group) drained() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.settle()
	return idle
}

// settle announces that nothing is in flight and closes removed searchers.
func (g *group) settle() {
	if g.inflight == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
	kept := g.gone[:0]
	for _, m := range g.gone {
		if m.inflight == 0 {
			m.target.Close()
			continue
		}
		kept = append(kept, m)
	}
	g.gone = kept
	if g.inflight == 0 && g.share == lease.None {
		g.closeLocked()
	}
}

// closeLocked closes the connections; attempts in flight fail.
func (g *group) closeLocked() {
	if g.closed {
		return
	}
	g.closed = true
	for _, m := range g.members {
		m.removed = true
		if m.poll != nil {
			m.poll.Stop()
		}
		m.target.Close()
	}
}

func (g *group) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

func (g *group) knowledge() Released {
	g.mu.Lock()
	defer g.mu.Unlock()
	estimates := make([]Estimate, 0, len(g.members))
	for _, m := range g.members {
		estimates = append(estimates, m.knowledge())
	}
	return NewReleased(g.id, estimates)
}

func (g *group) adopt(r Released) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.set.clock.Boot()
	for _, e := range r.Searchers() {
		for _, m := range g.members {
			if m.spec.Name() == e.Name() && m.spec.Address() == e.Address() {
				m.adopt(now, e)
			}
		}
	}
	g.updateMedian()
	g.dispatch(now)
}
