package move

import (
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
)

// Follower applies the shares of moves to the homes of this daemon. It stops a
// bad version as soon as the daemon's own evidence proves the fault, without
// waiting for the controller.
type Follower struct {
	clock    clock.Clock
	setShare func(service, move string, share float64)

	mu     sync.Mutex
	deltas *deltaTracker
	moves  map[string]*followedMove
}

type followedMove struct {
	service    string
	move       *catalogue.Move
	state      State
	stopReason string // Fault for which this daemon stopped the version; empty if none.
	window     *window
}

// effectiveShare returns the share that the homes apply. It is 0 after a local
// stop until the controller has ended the move.
func (m *followedMove) effectiveShare() float64 {
	if m.stopReason != "" && !m.state.phase.Final() {
		return 0
	}
	return m.state.share
}

// NewFollower returns a Follower. It calls setShare with the share of each move,
// between 0 and 1, on every change and every Observe.
func NewFollower(c clock.Clock, setShare func(service, move string, share float64)) *Follower {
	return &Follower{clock: c, setShare: setShare, deltas: newDeltaTracker(), moves: make(map[string]*followedMove)}
}

// Declare replaces the followed moves by those of an estate. A new move starts
// with share 0.
func (f *Follower) Declare(estate catalogue.Estate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	declared := make(map[string]bool)
	for _, s := range estate.Services() {
		for _, m := range s.Moves() {
			key := Key(s.Name(), m.Name())
			declared[key] = true
			f.declare(key, s.Name(), m)
		}
	}
	for key := range f.moves {
		if !declared[key] {
			delete(f.moves, key)
		}
	}
}

func (f *Follower) declare(key, service string, m *catalogue.Move) {
	old, ok := f.moves[key]
	if ok && old.move.From() == m.From() && old.move.To() == m.To() {
		old.move = m
		return
	}
	f.moves[key] = &followedMove{service: service, move: m, state: NewState(service, m), window: newWindow(f.clock.Boot())}
	f.setShare(service, m.Name(), 0)
}

// Apply applies a state that the controller announced. It ignores states of
// unknown moves, states that are not newer than the applied one, and shares
// outside 0 to 1.
func (f *Follower) Apply(s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.moves[Key(s.service, s.move)]
	if !ok || !s.Matches(m.move) || s.step <= m.state.step {
		return
	}
	if !invariant.Check("move.final", !m.state.phase.Final(), "move %s of service %s: step after final phase %s", s.move, s.service, m.state.phase) {
		return
	}
	if s.share < 0 || s.share > 1 {
		return
	}
	m.state = s
	m.window = newWindow(f.clock.Boot())
	f.setShare(m.service, s.move, m.effectiveShare())
}

// Observe adds the daemon's own cumulative evidence, stops the versions whose
// fault it proves, and sets the shares of all moves.
func (f *Follower) Observe(evidence []Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Boot()
	for _, e := range evidence {
		delta := f.deltas.delta("", e, now)
		for _, m := range f.moves {
			if m.service == e.service && m.state.phase == Running {
				m.window.add(m.move, e.version, e.route, delta, now)
			}
		}
	}
	f.deltas.expire(now)
	for _, m := range f.moves {
		f.stopIfFaulty(m)
		// A home that was created since the last call has no share yet.
		f.setShare(m.service, m.move.Name(), m.effectiveShare())
	}
}

func (f *Follower) stopIfFaulty(m *followedMove) {
	if m.state.phase != Running || m.stopReason != "" {
		return
	}
	fault := m.window.fault(NewGuard(m.move))
	if fault == "" {
		return
	}
	m.stopReason = fault
	meter.Count("move.stopped_locally", 1)
	log.Warn().Str("service", m.service).Str("move", m.move.Name()).Str("reason", fault).Msg("version stopped by local evidence")
}

// Stops returns the versions that this daemon stopped.
func (f *Follower) Stops() []Stop {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stops []Stop
	for _, m := range f.moves {
		if m.stopReason != "" {
			stops = append(stops, Stop{service: m.service, move: m.move.Name(), to: m.move.To(), reason: m.stopReason})
		}
	}
	return stops
}

// States returns the states of the declared moves as this daemon applies them,
// sorted by key.
func (f *Follower) States() []State {
	f.mu.Lock()
	defer f.mu.Unlock()
	var states []State
	for _, m := range f.moves {
		s := m.state
		s.share = m.effectiveShare()
		if m.stopReason != "" && !s.phase.Final() {
			s.reason = "stopped by this daemon: " + m.stopReason
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b State) int {
		return strings.Compare(Key(a.service, a.move), Key(b.service, b.move))
	})
	return states
}
