package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
)

// serving tells which daemons callers are sent to. All others stand by: they
// know the configuration and the targets and can take over within two seconds.
type serving struct {
	clock clock.Clock
	name  string
	heard func(peer string) time.Time

	mu         sync.Mutex
	candidates []fleet.Candidate
	selected   []fleet.Candidate
	expected   map[string]time.Time // Since when heartbeats of a daemon are expected.
	lost       map[string]bool
}

func newServing(c clock.Clock, name string, heard func(peer string) time.Time) *serving {
	return &serving{clock: c, name: name, heard: heard, expected: make(map[string]time.Time), lost: make(map[string]bool)}
}

// register sets the daemons that are registered in the store.
func (s *serving) register(cs []fleet.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidates = cs
	s.selectLocked()
}

// refresh follows gained and lost daemons.
func (s *serving) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, c := range s.candidates {
		since, ok := s.expected[c.Name()]
		if !ok || c.Name() == s.name {
			continue
		}
		if heard := s.heard(c.Peer()); heard.After(since) {
			since = heard
		}
		s.lost[c.Name()] = now.Sub(since) > fleet.LostAfter
	}
	s.selectLocked()
}

// selectLocked selects the serving daemons. Daemons that stand by send no
// heartbeats, so one that is newly selected has time to begin.
func (s *serving) selectLocked() {
	s.selected = fleet.Select(s.candidates, func(name string) bool { return s.lost[name] })
	now := s.clock.Now()
	for _, c := range s.selected {
		if _, ok := s.expected[c.Name()]; !ok {
			s.expected[c.Name()] = now
		}
	}
}

// includesSelf reports whether this daemon serves callers. One that is not yet
// registered does, since the registry may be out of reach.
func (s *serving) includesSelf() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return indexOf(s.candidates, s.name) < 0 || indexOf(s.selected, s.name) >= 0
}

// position returns this daemon's place among the daemons that share the limits
// on targets, and their number. The place is negative for one that stands by. A
// daemon that knows no other one takes itself for the only one.
func (s *serving) position() (place, of int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.selected) == 0 {
		return 0, 1
	}
	return indexOf(s.selected, s.name), len(s.selected)
}

// connectsAhead reports whether this daemon makes connections to targets before
// they are needed: only if the registry names it as one that serves. As long as
// the registry is not known all daemons would, and targets take only so many.
func (s *serving) connectsAhead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return indexOf(s.selected, s.name) >= 0
}

// indexOf returns the place of the daemon of that name, or -1.
func indexOf(cs []fleet.Candidate, name string) int {
	return slices.IndexFunc(cs, func(c fleet.Candidate) bool { return c.Name() == name })
}

// registered returns all daemons that are registered.
func (s *serving) registered() []fleet.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.candidates
}

// names returns the names of the daemons that serve.
func (s *serving) names() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make(map[string]bool, len(s.selected))
	for _, c := range s.selected {
		names[c.Name()] = true
	}
	return names
}

// standbyRounds is after how many heartbeats to the serving daemons one goes to
// those that stand by.
const standbyRounds = 2

// recipients returns to whom a heartbeat goes. Only a daemon that serves sends
// any.
func (d *Daemon) recipients(round int) []string {
	d.serving.refresh()
	if !d.serving.includesSelf() {
		return nil
	}
	serving := d.serving.names()
	to := make(map[string]bool)
	for _, c := range d.serving.registered() {
		if round%standbyRounds == 0 || serving[c.Name()] {
			to[c.Peer()] = true
		}
	}
	if len(to) == 0 {
		for _, a := range d.seeds() {
			to[a] = true
		}
	}
	for _, m := range d.fleet.Alive() {
		to[m.Peer()] = true
	}
	return slices.Collect(maps.Keys(to))
}
