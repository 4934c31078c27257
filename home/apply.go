package home

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
)

// Apply installs an assignment. It stops new work at once for groups that are
// no longer assigned, and for searchers that drain, were removed or are in a
// failure domain out of service; requests in flight there run to their end. A
// released group stays released until an assignment without it has been
// applied.
func (s *Set) Apply(a Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	listed := make(map[string]bool)
	for _, spec := range a.Estate().Services() {
		svc := s.services[spec.Name()]
		if svc == nil {
			svc = newService(spec)
			for move, share := range s.moveShares[spec.Name()] {
				svc.setShare(move, share)
			}
			s.services[spec.Name()] = svc
		}
		svc.update(spec)
		for _, g := range spec.Groups() {
			listed[g.ID()] = true
			s.applyGroup(a, g, svc)
		}
	}
	for id, g := range s.groups {
		if !listed[id] {
			g.retire()
			s.discard(g)
		}
	}
	for id := range s.imported {
		if !listed[id] {
			delete(s.imported, id)
		}
	}
}

func (s *Set) applyGroup(a Assignment, spec catalogue.Group, svc *service) {
	share := a.Share(spec.ID())
	g := s.groups[spec.ID()]
	if share == lease.None {
		if g != nil {
			g.retire()
			s.discard(g)
		}
		return
	}
	if g == nil || g.isClosed() {
		g = newGroup(s, spec, svc)
		s.groups[spec.ID()] = g
	}
	g.reconcile(a.Estate(), spec, share)
	if r, ok := s.imported[spec.ID()]; ok {
		delete(s.imported, spec.ID())
		if s.clock.Boot()-r.at < importedEstimatesTTL {
			g.importEstimates(r.handoff)
		}
	}
}

// discard removes a retired group that has no request in flight.
func (s *Set) discard(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inflight == 0 {
		g.closeLocked()
		delete(s.groups, g.id)
	}
}

// reconcile installs the share and the searchers of the group.
func (g *group) reconcile(estate catalogue.Estate, spec catalogue.Group, share lease.Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.released || g.closed {
		return
	}
	g.share = share
	g.policy = g.service.currentSpec().Policy()
	g.updateCreditsLocked()
	kept := make([]*member, 0, len(spec.Searchers()))
	for _, c := range spec.Searchers() {
		m := g.memberFor(c)
		m.spec, m.inService = c, estate.InService(c.Domain())
		m.warmup.coldLimit = max(1, c.ColdLimit())
		if !m.warmup.warm {
			m.warmup.rampLimit = min(m.warmup.rampLimit, m.warmup.coldLimit)
		}
		if n := connections(share, c.Connections()); n != m.conns {
			m.conns = n
			m.target.SetMaxConnections(n)
		}
		kept = append(kept, m)
	}
	for _, m := range g.members {
		g.removeMember(m)
	}
	g.members = kept
	if share != lease.Acting {
		g.enablePolling()
	}
	if g.pollingEnabled {
		for _, m := range g.members {
			g.startPolling(m)
		}
	}
	g.dispatch(g.set.clock.Boot())
}

// memberFor returns the member for a searcher and removes it from g.members. A
// searcher with another address is another process and gets a new member.
func (g *group) memberFor(c *catalogue.Searcher) *member {
	for i, m := range g.members {
		if m.spec.Name() == c.Name() && m.spec.Address() == c.Address() {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			return m
		}
	}
	return &member{spec: c, target: g.set.newTarget(c), warmup: newWarmup(c.ColdLimit())}
}

// removeMember stops new work for a searcher. Its connections close once it has
// no request in flight.
func (g *group) removeMember(m *member) {
	m.removed = true
	if m.pollTimer != nil {
		m.pollTimer.Stop()
	}
	g.removedMembers = append(g.removedMembers, m)
	g.cleanUpIdle()
}

// retire stops new work for the group.
func (g *group) retire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share = lease.None
	g.refuseQueued()
}

// refuseQueued refuses all waiting tasks. A task that waits only for a hedge or
// a resend keeps its running attempt.
func (g *group) refuseQueued() {
	for _, l := range g.queue.nextRound() {
		for l.first != nil {
			t := l.first
			l.remove(t)
			t.hedgePending, t.silentAttempt = false, nil
			if len(t.running) == 0 {
				g.refuse(t, refusal.New(refusal.NotHome, "daemon is no longer home of group %s", g.id))
			}
		}
	}
}

// updateCredits installs the current shares of the moves.
func (g *group) updateCredits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCreditsLocked()
	g.dispatch(g.set.clock.Boot())
}

func (g *group) updateCreditsLocked() {
	old := g.credits
	g.credits = nil
	for _, m := range g.service.moves() {
		c := &credit{move: m.name, from: m.from, to: m.to}
		for _, o := range old {
			if o.move == m.name && o.from == m.from && o.to == m.to {
				c = o
			}
		}
		c.setShare(m.share)
		g.credits = append(g.credits, c)
	}
}
