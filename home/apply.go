package home

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
)

// Apply makes the homes agree with the assignment. New work stops at once for
// groups that are not assigned any more and for searchers that drain, were
// removed or are in a failure domain out of service; what runs there ends by
// itself. A group that was released stays released until an assignment without
// it has been applied.
func (s *Set) Apply(a Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	listed := make(map[string]bool)
	for _, spec := range a.Estate().Services() {
		v := s.services[spec.Name()]
		if v == nil {
			v = newService(spec)
			for move, share := range s.shares[spec.Name()] {
				v.setShare(move, share)
			}
			s.services[spec.Name()] = v
		}
		v.update(spec)
		for _, g := range spec.Groups() {
			listed[g.ID()] = true
			s.applyGroup(a, g, v)
		}
	}
	for id, g := range s.groups {
		if !listed[id] {
			g.retire()
			s.discard(g)
		}
	}
	for id := range s.adopted {
		if !listed[id] {
			delete(s.adopted, id)
		}
	}
}

func (s *Set) applyGroup(a Assignment, spec catalogue.Group, v *service) {
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
		g = newGroup(s, spec, v)
		s.groups[spec.ID()] = g
	}
	g.reconcile(a.Estate(), spec, share)
	if r, ok := s.adopted[spec.ID()]; ok {
		delete(s.adopted, spec.ID())
		if s.clock.Boot()-r.at < adoptionMemory {
			g.adopt(r.released)
		}
	}
}

// discard removes a retired group once nothing is in flight.
func (s *Set) discard(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inflight == 0 {
		g.closeLocked()
		delete(s.groups, g.id)
	}
}

// reconcile installs the share and the searchers.
func (g *group) reconcile(estate catalogue.Estate, spec catalogue.Group, share lease.Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.released || g.closed {
		return
	}
	g.share = share
	g.policy = g.service.description().Policy()
	g.creditsLocked()
	kept := make([]*member, 0, len(spec.Searchers()))
	for _, c := range spec.Searchers() {
		m := g.take(c)
		m.spec, m.inService = c, estate.InService(c.Domain())
		m.warmth.coldLimit = max(1, c.ColdLimit())
		if !m.warmth.warm {
			m.warmth.allowed = min(m.warmth.allowed, m.warmth.coldLimit)
		}
		if n := connections(share, c.Connections()); n != m.conns {
			m.conns = n
			m.target.Resize(n)
		}
		kept = append(kept, m)
	}
	for _, m := range g.members {
		g.remove(m)
	}
	g.members = kept
	if share != lease.Acting {
		g.wake()
	}
	if g.awake {
		for _, m := range g.members {
			g.startPolls(m)
		}
	}
	g.dispatch(g.set.clock.Boot())
}

// take returns the member for a searcher and removes it from the present ones.
// A searcher at another address is another process.
func (g *group) take(c *catalogue.Searcher) *member {
	for i, m := range g.members {
		if m.spec.Name() == c.Name() && m.spec.Address() == c.Address() {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			return m
		}
	}
	return &member{spec: c, target: g.set.dial(c), warmth: newWarmth(c.ColdLimit())}
}

// remove stops new work for a searcher; its connections close when it is idle.
func (g *group) remove(m *member) {
	m.removed = true
	if m.poll != nil {
		m.poll.Stop()
	}
	g.gone = append(g.gone, m)
	g.settle()
}

// retire stops new work for the group.
func (g *group) retire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share = lease.None
	g.flush()
}

// flush refuses everything that waits. Tasks that wait only to be sent a second
// time keep their running attempt.
func (g *group) flush() {
	for _, l := range g.queue.order() {
		for l.first != nil {
			t := l.first
			l.remove(t)
			t.hedging, t.silent = false, nil
			if len(t.running) == 0 {
				g.refuse(t, refusal.New(refusal.NotHome, "daemon is no longer home of group %s", g.id))
			}
		}
	}
}

// updateCredits installs changed shares of moves.
func (g *group) updateCredits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.creditsLocked()
	g.dispatch(g.set.clock.Boot())
}

func (g *group) creditsLocked() {
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
