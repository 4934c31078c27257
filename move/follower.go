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
// bad version at once by the daemon's own evidence, without waiting for the
// controller.
type Follower struct {
	clock    clock.Clock
	setShare func(service, move string, share float64)

	mu     sync.Mutex
	ledger *ledger
	moves  map[string]*followed
}

type followed struct {
	service string
	move    *catalogue.Move
	state   State
	stopped string // Fault for which this daemon stopped the version.
	window  *window
}

// effective is the share that the homes apply: none after a local stop, until
// the controller has ended the move.
func (m *followed) effective() float64 {
	if m.stopped != "" && !m.state.phase.Final() {
		return 0
	}
	return m.state.share
}

// NewFollower returns a Follower. The setShare function is told every change,
// with 0 for a version that must receive nothing.
func NewFollower(c clock.Clock, setShare func(service, move string, share float64)) *Follower {
	return &Follower{clock: c, setShare: setShare, ledger: newLedger(), moves: make(map[string]*followed)}
}

// Declare takes the moves of an estate. A new move starts with share 0.
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
	f.moves[key] = &followed{service: service, move: m, state: NewState(service, m), window: newWindow(f.clock.Boot())}
	f.setShare(service, m.Name(), 0)
}

// Apply takes a state that the controller announced. States older than the
// known one, which arrive late, change nothing.
func (f *Follower) Apply(s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.moves[Key(s.service, s.move)]
	if !ok || !s.Matches(m.move) || s.step <= m.state.step {
		return
	}
	if !invariant.Check("move.final", !m.state.phase.Final(), "move %s of %s goes on after %s", s.move, s.service, m.state.phase) {
		return
	}
	if s.share < 0 || s.share > 1 {
		return
	}
	m.state = s
	m.window = newWindow(f.clock.Boot())
	f.setShare(m.service, s.move, m.effective())
}

// Observe judges the daemon's own cumulative evidence and stops the versions
// that it proves bad.
func (f *Follower) Observe(evidence []Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Boot()
	for _, e := range evidence {
		d := f.ledger.difference("", e, now)
		for _, m := range f.moves {
			if m.service == e.service && m.state.phase == Running {
				m.window.add(m.move, e.version, e.route, d, now)
			}
		}
	}
	f.ledger.expire(now)
	for _, m := range f.moves {
		f.judge(m)
		// A home that was made since the last call does not know its share yet.
		f.setShare(m.service, m.move.Name(), m.effective())
	}
}

func (f *Follower) judge(m *followed) {
	if m.state.phase != Running || m.stopped != "" {
		return
	}
	fault := m.window.fault(NewGuard(m.move))
	if fault == "" {
		return
	}
	m.stopped = fault
	meter.Count("move.stopped_locally", 1)
	log.Warn().Str("service", m.service).Str("move", m.move.Name()).Str("reason", fault).Msg("version stopped by local evidence")
}

// Stops returns the versions that this daemon stopped.
func (f *Follower) Stops() []Stop {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stops []Stop
	for _, m := range f.moves {
		if m.stopped != "" {
			stops = append(stops, Stop{service: m.service, move: m.move.Name(), to: m.move.To(), reason: m.stopped})
		}
	}
	return stops
}

// States returns the states of the declared moves as this daemon applies them.
func (f *Follower) States() []State {
	f.mu.Lock()
	defer f.mu.Unlock()
	var states []State
	for _, m := range f.moves {
		s := m.state
		s.share = m.effective()
		if m.stopped != "" && !s.phase.Final() {
			s.reason = "stopped by this daemon: " + m.stopped
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b State) int {
		return strings.Compare(Key(a.service, a.move), Key(b.service, b.move))
	})
	return states
}
