package move

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/store"
)

// progressInterval is the minimum time between writes that only store the number
// of counted requests, so that the next controller continues from that number.
const progressInterval = 5 * time.Second

// Controller advances the declared moves. Several controllers may run at the same
// time: each step is a conditional update of the store, so at most one of them
// takes it.
type Controller struct {
	clock     clock.Clock
	store     store.Store
	token     func() string
	holdsRole func() bool
	onFinal   func(State)

	mu     sync.Mutex
	deltas *deltaTracker
	active map[string]*activeMove
}

// ControllerOption configures a Controller made by NewController.
type ControllerOption func(*Controller)

// WithLeadershipCheck sets the check whether this daemon is still the leader, which
// holds the controller role. The check runs immediately before each write; if it
// fails, nothing is written. By default it always succeeds.
func WithLeadershipCheck(holdsRole func() bool) ControllerOption {
	return func(c *Controller) { c.holdsRole = holdsRole }
}

// WithOnFinal sets a function that is called with the state of each move that
// this controller finishes or rolls back.
func WithOnFinal(f func(State)) ControllerOption {
	return func(c *Controller) { c.onFinal = f }
}

// NewController returns a Controller that keeps its states in s. The token
// function returns a new unique text for each write.
func NewController(c clock.Clock, s store.Store, token func() string, opts ...ControllerOption) *Controller {
	ctl := &Controller{
		clock: c, store: s, token: token,
		holdsRole: func() bool { return true },
		onFinal:   func(State) {},
		deltas:    newDeltaTracker(),
		active:    make(map[string]*activeMove),
	}
	for _, opt := range opts {
		opt(ctl)
	}
	return ctl
}

// Report adds the cumulative evidence of one source to the running moves. The
// source identifies a daemon incarnation.
func (c *Controller) Report(source string, evidence []Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Boot()
	for _, e := range evidence {
		delta := c.deltas.delta(source, e, now)
		for _, a := range c.active {
			if a.service == e.service && a.loaded && a.state.phase == Running {
				a.window.add(a.move, e.version, e.route, delta, now)
			}
		}
	}
	c.deltas.expire(now)
}

// RecordStop records that a daemon stopped the new version of a move by its own
// evidence. The next Step rolls the move back.
func (c *Controller) RecordStop(service, move, to, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.active[Key(service, move)]
	if ok && a.move.To() == to && a.stopReason == "" {
		a.stopReason = reason
	}
}

// States returns the states that were read from the store, in no particular order.
func (c *Controller) States() []State {
	c.mu.Lock()
	defer c.mu.Unlock()
	var states []State
	for _, a := range c.active {
		if a.loaded {
			states = append(states, a.state)
		}
	}
	return states
}

// Step advances every declared move by at most one step. It returns the joined
// errors of the moves whose state could not be read or written.
func (c *Controller) Step(ctx context.Context, estate catalogue.Estate) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeUndeclared(estate)
	var errs []error
	for _, s := range estate.Services() {
		for _, m := range s.Moves() {
			if err := c.stepMove(ctx, s.Name(), m); err != nil {
				errs = append(errs, eris.Wrapf(err, "move %s of service %s", m.Name(), s.Name()))
			}
		}
	}
	return errors.Join(errs...)
}

func (c *Controller) removeUndeclared(estate catalogue.Estate) {
	declared := make(map[string]bool)
	for _, s := range estate.Services() {
		for _, m := range s.Moves() {
			declared[Key(s.Name(), m.Name())] = true
		}
	}
	for key := range c.active {
		if !declared[key] {
			delete(c.active, key)
		}
	}
}

func (c *Controller) stepMove(ctx context.Context, service string, m *catalogue.Move) error {
	key := Key(service, m.Name())
	a, ok := c.active[key]
	if !ok || a.move.From() != m.From() || a.move.To() != m.To() {
		a = &activeMove{service: service, window: newWindow(c.clock.Boot())}
		c.active[key] = a
	}
	a.move = m
	if !a.loaded {
		if err := c.load(ctx, key, a); err != nil {
			return err
		}
	}
	next, changed := c.nextState(a)
	if !changed {
		return nil
	}
	return c.write(ctx, key, a, next)
}

// load reads the stored state. After a write with an unknown outcome, the stored
// state shows whether the write took effect.
func (c *Controller) load(ctx context.Context, key string, a *activeMove) error {
	o, err := c.store.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		a.state, a.version = NewState(a.service, a.move), store.Absent
	case err != nil:
		return err
	default:
		state, err := DecodeState(o.Value())
		if err != nil {
			return err
		}
		if !state.Matches(a.move) {
			state = NewState(a.service, a.move)
		}
		if state.step != a.state.step {
			a.window = newWindow(c.clock.Boot())
		}
		a.state, a.version, a.resumedCount = state, o.Version(), state.counted
	}
	a.loaded = true
	a.syncedAt = c.clock.Boot()
	return nil
}

// nextState returns the state that should follow and whether it must be written.
func (c *Controller) nextState(a *activeMove) (State, bool) {
	now := c.clock.Now()
	s := a.state
	schedule := NewSchedule(a.move)
	counted := a.resumedCount + a.window.wholeStep.newRequests()
	switch {
	case s.phase.Final():
		return s, false
	case s.phase == Pending:
		if now.Before(schedule.Due(0)) {
			return s, false
		}
		if schedule.Overdue(now) {
			return c.finalState(s, RolledBack, 0, "finish time passed before the move started"), true
		}
		return c.advancedState(s, schedule, "started"), true
	}
	fault := a.stopReason
	if fault == "" {
		fault = a.window.fault(NewGuard(a.move))
	}
	if fault != "" {
		return c.finalState(s, RolledBack, 0, fault), true
	}
	s.counted = counted
	enoughEvidence := counted >= uint64(max(0, a.move.MinEvidence()))
	switch {
	case schedule.IsLast(s.step) && !now.Before(schedule.Due(s.step)):
		return c.finalState(s, Finished, 1, fmt.Sprintf("no fault in %d requests at full share", counted)), true
	case !schedule.IsLast(s.step) && schedule.Overdue(now):
		return c.finalState(s, RolledBack, 0, fmt.Sprintf("finish time passed before full share: %d requests of the new version seen, %d needed for each step above share %.2f", counted, a.move.MinEvidence(), a.move.MaxShare())), true
	case schedule.IsLast(s.step) || now.Before(schedule.Due(s.step)):
		return s, c.progressDue(a, counted)
	case schedule.Share(s.step+1) > a.move.MaxShare() && !enoughEvidence:
		return s, c.progressDue(a, counted)
	default:
		return c.advancedState(s, schedule, fmt.Sprintf("no fault in %d requests", counted)), true
	}
}

func (c *Controller) progressDue(a *activeMove, counted uint64) bool {
	return counted != a.state.counted && c.clock.Boot()-a.syncedAt >= progressInterval
}

func (c *Controller) advancedState(s State, schedule Schedule, reason string) State {
	s.phase = Running
	s.step++
	s.share = schedule.Share(s.step)
	s.since = c.clock.Now()
	s.reason = reason
	s.counted = 0
	return s
}

func (c *Controller) finalState(s State, phase Phase, share float64, reason string) State {
	s.phase = phase
	s.step++
	s.share = share
	s.since = c.clock.Now()
	s.reason = reason
	return s
}

func (c *Controller) write(ctx context.Context, key string, a *activeMove, next State) error {
	next.token = c.token()
	value, err := next.Encode()
	if err != nil {
		return err
	}
	if !c.holdsRole() {
		return nil
	}
	invariant.Check("move.final", !a.state.phase.Final(), "move %s: step from final phase %s to %s", key, a.state.phase, next.phase)
	o, err := c.store.Put(ctx, key, value, a.version)
	if err != nil {
		// The write may have taken effect, or another controller wrote first; the
		// next step reads the state again.
		a.loaded = false
		meter.Count("move.write_failed", 1)
		return err
	}
	stepped := next.step != a.state.step
	a.state, a.version = next, o.Version()
	a.syncedAt = c.clock.Boot()
	if stepped {
		c.recordStep(a)
	}
	return nil
}

func (c *Controller) recordStep(a *activeMove) {
	a.window, a.resumedCount = newWindow(c.clock.Boot()), 0
	s := a.state
	log.Info().Str("service", s.service).Str("move", s.move).Str("phase", string(s.phase)).
		Uint64("step", s.step).Float64("share", s.share).Str("reason", s.reason).Msg("version move stepped")
	meter.Count("move.step."+string(s.phase), 1)
	if s.phase.Final() {
		c.onFinal(s)
	}
}
