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

// progressInterval is the time between writes that only store the amount of
// evidence, so that a replaced controller does not start from nothing.
const progressInterval = 5 * time.Second

// Controller steps the declared moves. Any number of controllers may run: a
// step is a conditional update, so at most one of them takes it.
type Controller struct {
	clock   clock.Clock
	store   store.Store
	token   func() string
	holds   func() bool
	onFinal func(State)

	mu     sync.Mutex
	ledger *ledger
	active map[string]*activeMove
}

// ControllerOption changes a Controller under construction.
type ControllerOption func(*Controller)

// WithHolds sets the check that this daemon still holds the controller role. It
// is made immediately before each write.
func WithHolds(holds func() bool) ControllerOption {
	return func(c *Controller) { c.holds = holds }
}

// WithOnFinal sets a function that is told of each finished or rolled-back move.
func WithOnFinal(f func(State)) ControllerOption {
	return func(c *Controller) { c.onFinal = f }
}

// NewController returns a Controller. The token function yields a new unique
// text for each write.
func NewController(c clock.Clock, s store.Store, token func() string, opts ...ControllerOption) *Controller {
	ctl := &Controller{
		clock: c, store: s, token: token,
		holds:   func() bool { return true },
		onFinal: func(State) {},
		ledger:  newLedger(),
		active:  make(map[string]*activeMove),
	}
	for _, opt := range opts {
		opt(ctl)
	}
	return ctl
}

// Report takes the cumulative evidence of one source, which names a daemon
// incarnation.
func (c *Controller) Report(source string, evidence []Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Boot()
	for _, e := range evidence {
		d := c.ledger.difference(source, e, now)
		for _, a := range c.active {
			if a.service == e.service && a.loaded && a.state.phase == Running {
				a.window.add(a.move, e.version, e.route, d, now)
			}
		}
	}
	c.ledger.expire(now)
}

// Stopped takes a home's report that it stopped the new version by its own
// evidence.
func (c *Controller) Stopped(service, move, to, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.active[Key(service, move)]
	if ok && a.move.To() == to && a.stopped == "" {
		a.stopped = reason
	}
}

// States returns the known states, in no particular order.
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

// Step advances every declared move by at most one step.
func (c *Controller) Step(ctx context.Context, estate catalogue.Estate) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetRemoved(estate)
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

func (c *Controller) forgetRemoved(estate catalogue.Estate) {
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
	next, changed := c.decide(a)
	if !changed {
		return nil
	}
	return c.write(ctx, key, a, next)
}

// load reads the stored state. After a write with an unknown outcome the state
// that is read tells whether the write took effect.
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
		a.state, a.version, a.resumed = state, o.Version(), state.counted
	}
	a.loaded = true
	a.recorded = c.clock.Boot()
	return nil
}

// decide returns the state that should follow and whether it differs.
func (c *Controller) decide(a *activeMove) (State, bool) {
	now := c.clock.Now()
	s := a.state
	schedule := NewSchedule(a.move)
	counted := a.resumed + a.window.whole.fresh()
	switch {
	case s.phase.Final():
		return s, false
	case s.phase == Pending:
		if now.Before(schedule.Due(0)) {
			return s, false
		}
		if schedule.Overdue(now) {
			return c.final(s, RolledBack, 0, "its finish time had passed before it could start"), true
		}
		return c.advance(s, schedule, "started"), true
	}
	fault := a.stopped
	if fault == "" {
		fault = a.window.fault(NewGuard(a.move))
	}
	if fault != "" {
		return c.final(s, RolledBack, 0, fault), true
	}
	s.counted = counted
	proved := counted >= uint64(max(0, a.move.MinEvidence()))
	switch {
	case schedule.Last(s.step) && !now.Before(schedule.Due(s.step)):
		return c.final(s, Finished, 1, fmt.Sprintf("no fault in %d requests at full share", counted)), true
	case !schedule.Last(s.step) && schedule.Overdue(now):
		return c.final(s, RolledBack, 0, fmt.Sprintf("not proved by its finish time: %d requests seen, %d needed at each share above %.2f", counted, a.move.MinEvidence(), a.move.MaxShare())), true
	case schedule.Last(s.step) || now.Before(schedule.Due(s.step)):
		return s, c.progressDue(a, counted)
	case schedule.Share(s.step+1) > a.move.MaxShare() && !proved:
		return s, c.progressDue(a, counted)
	default:
		return c.advance(s, schedule, fmt.Sprintf("no fault in %d requests", counted)), true
	}
}

func (c *Controller) progressDue(a *activeMove, counted uint64) bool {
	return counted != a.state.counted && c.clock.Boot()-a.recorded >= progressInterval
}

func (c *Controller) advance(s State, schedule Schedule, reason string) State {
	s.phase = Running
	s.step++
	s.share = schedule.Share(s.step)
	s.since = c.clock.Now()
	s.reason = reason
	s.counted = 0
	return s
}

func (c *Controller) final(s State, phase Phase, share float64, reason string) State {
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
	if !c.holds() {
		return nil
	}
	invariant.Check("move.final", !a.state.phase.Final(), "move %s steps from %s to %s", key, a.state.phase, next.phase)
	o, err := c.store.Put(ctx, key, value, a.version)
	if err != nil {
		// The write may have taken effect, or another controller wrote first.
		a.loaded = false
		meter.Count("move.write_failed", 1)
		return err
	}
	stepped := next.step != a.state.step
	a.state, a.version = next, o.Version()
	a.recorded = c.clock.Boot()
	if stepped {
		c.noteStep(a)
	}
	return nil
}

func (c *Controller) noteStep(a *activeMove) {
	a.window, a.resumed = newWindow(c.clock.Boot()), 0
	s := a.state
	log.Info().Str("service", s.service).Str("move", s.move).Str("phase", string(s.phase)).
		Uint64("step", s.step).Float64("share", s.share).Str("reason", s.reason).Msg("version move stepped")
	meter.Count("move.step."+string(s.phase), 1)
	if s.phase.Final() {
		c.onFinal(s)
	}
}
