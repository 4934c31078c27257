package home

import (
	"context"

	"medlaryard.example/medlaryard/lease"
)

// Release stops new sends to the groups, waits until no request is in flight
// and returns the estimates of their searchers. The result omits groups that
// still have requests in flight when ctx ends. A group that this daemon is not
// home of is returned without estimates.
func (s *Set) Release(ctx context.Context, groups []string) []Handoff {
	for _, id := range groups {
		if g := s.group(id); g != nil {
			g.release()
		}
	}
	var out []Handoff
	for _, id := range groups {
		g := s.group(id)
		if g == nil {
			out = append(out, NewHandoff(id, nil))
			continue
		}
		if g.waitDrained(ctx) {
			out = append(out, g.exportEstimates())
		}
	}
	return out
}

// waitDrained waits until no request of the group is in flight and reports
// whether that happened before ctx ended. It also reports true if ctx has ended
// and nothing is in flight.
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

// ImportEstimates initializes the group's latency and warm-up state from the
// estimates of the previous home. It may be called before the assignment that
// makes this daemon the home.
func (s *Set) ImportEstimates(group string, h Handoff) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[group]; g != nil {
		g.importEstimates(h)
		return
	}
	s.imported[group] = importedEstimates{handoff: h, at: s.clock.Boot()}
}

// release stops the group before the assignment removes it.
func (g *group) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
	g.refuseQueued()
}

// shutDown stops the group permanently and closes its connections.
func (g *group) shutDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
	g.refuseQueued()
	g.closeLocked()
}

// drained returns a channel that is closed when no request is in flight.
func (g *group) drained() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.cleanUpIdle()
	return idle
}

// cleanUpIdle runs after every event that may leave the group or a removed
// searcher without requests in flight. It wakes the callers of drained, closes
// idle removed searchers and closes a retired group.
func (g *group) cleanUpIdle() {
	if g.inflight == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
	kept := g.removedMembers[:0]
	for _, m := range g.removedMembers {
		if m.inflight == 0 {
			m.target.Close()
			continue
		}
		kept = append(kept, m)
	}
	g.removedMembers = kept
	if g.inflight == 0 && g.share == lease.None {
		g.closeLocked()
	}
}

// closeLocked closes all connections; attempts in flight fail.
func (g *group) closeLocked() {
	if g.closed {
		return
	}
	g.closed = true
	for _, m := range g.members {
		m.removed = true
		if m.pollTimer != nil {
			m.pollTimer.Stop()
		}
		m.target.Close()
	}
}

func (g *group) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

func (g *group) exportEstimates() Handoff {
	g.mu.Lock()
	defer g.mu.Unlock()
	estimates := make([]Estimate, 0, len(g.members))
	for _, m := range g.members {
		estimates = append(estimates, m.exportEstimate())
	}
	return NewHandoff(g.id, estimates)
}

func (g *group) importEstimates(h Handoff) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.set.clock.Boot()
	for _, e := range h.Searchers() {
		for _, m := range g.members {
			if m.spec.Name() == e.Name() && m.spec.Address() == e.Address() {
				m.importEstimate(now, e)
			}
		}
	}
	g.updateMedian()
	g.dispatch(now)
}
