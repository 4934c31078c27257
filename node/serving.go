package node

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
)

// servingSet tracks which daemons serve callers. All others are on standby:
// they hold the configuration and the targets and take over within two seconds.
type servingSet struct {
	clock         clock.Clock
	name          string
	lastHeartbeat func(peer string) time.Time
	// registered holds the peer addresses of the candidates. It is read without mu,
	// because the fleet reads it while it holds a lock of its own.
	registered atomic.Pointer[map[string]bool]

	mu            sync.Mutex
	candidates    []fleet.Candidate
	selected      []fleet.Candidate
	expectedSince map[string]time.Time // When heartbeats of a daemon became due, by name.
	lost          map[string]bool
}

func newServingSet(c clock.Clock, name string, lastHeartbeat func(peer string) time.Time) *servingSet {
	return &servingSet{clock: c, name: name, lastHeartbeat: lastHeartbeat, expectedSince: make(map[string]time.Time), lost: make(map[string]bool)}
}

// isRegistered reports whether a daemon with the given peer address is registered in the
// store.
func (s *servingSet) isRegistered(peer string) bool {
	registered := s.registered.Load()
	return registered != nil && (*registered)[peer]
}

// setCandidates replaces the daemons registered in the store.
func (s *servingSet) setCandidates(cs []fleet.Candidate) {
	registered := make(map[string]bool, len(cs))
	for _, c := range cs {
		registered[c.PeerAddress()] = true
	}
	s.registered.Store(&registered)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidates = cs
	s.selectLocked()
}

// refresh updates the lost daemons from their last heartbeats and selects the
// serving daemons again.
func (s *servingSet) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, c := range s.candidates {
		since, ok := s.expectedSince[c.Name()]
		if !ok || c.Name() == s.name {
			continue
		}
		if last := s.lastHeartbeat(c.PeerAddress()); last.After(since) {
			since = last
		}
		s.lost[c.Name()] = now.Sub(since) > fleet.LostAfter
	}
	s.selectLocked()
}

// selectLocked selects the serving daemons. The caller holds s.mu. Standby
// daemons send no heartbeats, so a newly selected one gets time to start.
func (s *servingSet) selectLocked() {
	s.selected = fleet.Select(s.candidates, func(name string) bool { return s.lost[name] })
	now := s.clock.Now()
	for _, c := range s.selected {
		if _, ok := s.expectedSince[c.Name()]; !ok {
			s.expectedSince[c.Name()] = now
		}
	}
}

// includesSelf reports whether this daemon serves callers. An unregistered
// daemon does, since the registry may be unreachable.
func (s *servingSet) includesSelf() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return indexOf(s.candidates, s.name) < 0 || indexOf(s.selected, s.name) >= 0
}

// position returns this daemon's index among the daemons that share the limits
// on targets, and their number. The index of a standby daemon is negative. A
// daemon that knows no others counts as the only one.
func (s *servingSet) position() (index, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.selected) == 0 {
		return 0, 1
	}
	return indexOf(s.selected, s.name), len(s.selected)
}

// preconnects reports whether this daemon opens connections to targets before
// they are needed. It does so only if the registry selects it to serve. While
// the registry is unknown all daemons would connect, and targets accept only a
// limited number of connections.
func (s *servingSet) preconnects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return indexOf(s.selected, s.name) >= 0
}

// indexOf returns the index of the daemon with the given name, or -1.
func indexOf(cs []fleet.Candidate, name string) int {
	return slices.IndexFunc(cs, func(c fleet.Candidate) bool { return c.Name() == name })
}

// registeredDaemons returns all registered daemons.
func (s *servingSet) registeredDaemons() []fleet.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.candidates
}

// hasStandby reports whether another daemon is on standby. Standby daemons send
// no heartbeats; those that were lost while they served do not count.
func (s *servingSet) hasStandby() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.candidates, func(c fleet.Candidate) bool {
		return c.Name() != s.name && !s.lost[c.Name()] && indexOf(s.selected, c.Name()) < 0
	})
}

// names returns the names of the serving daemons.
func (s *servingSet) names() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make(map[string]bool, len(s.selected))
	for _, c := range s.selected {
		names[c.Name()] = true
	}
	return names
}

// standbyHeartbeatRounds is the period, in rounds, of the heartbeats to standby
// daemons. Serving daemons get a heartbeat in each round.
const standbyHeartbeatRounds = 2

// heartbeatRecipients returns the peer addresses to which the heartbeat of a
// round is sent: those of daemons that serve or send heartbeats, and those of
// standby daemons, which send none.
func (d *Daemon) heartbeatRecipients(round int) (serving, standby []string) {
	d.serving.refresh()
	if !d.serving.includesSelf() {
		return nil, nil
	}
	active := make(map[string]bool)
	names := d.serving.names()
	var others []string
	for _, c := range d.serving.registeredDaemons() {
		switch {
		case names[c.Name()]:
			active[c.PeerAddress()] = true
		case round%standbyHeartbeatRounds == 0:
			others = append(others, c.PeerAddress())
		}
	}
	if len(active)+len(others) == 0 {
		for _, a := range d.seedAddresses() {
			active[a] = true
		}
	}
	for _, m := range d.fleet.AliveMembers() {
		active[m.PeerAddress()] = true
	}
	for _, a := range others {
		if !active[a] {
			standby = append(standby, a)
		}
	}
	return slices.Collect(maps.Keys(active)), standby
}
