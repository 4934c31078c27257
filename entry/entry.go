package entry

import (
	"sync/atomic"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/once"
	"medlaryard.example/medlaryard/refusal"
)

// Entry plans and merges queries.
type Entry struct {
	fleet   Fleet
	clk     clock.Clock
	table   *table
	reach   *reach
	budget  *budget
	layouts layouts
	once    *once.Table
	cuts    cuts
	// incarnation identifies this process in tickets.
	incarnation string
	sends       atomic.Uint64
	inFlight    atomic.Int64
	closing     atomic.Bool

	admit        func(estate catalogue.Estate, owner string, class catalogue.Class, s *catalogue.Service) (func(), error)
	suspectState func(fingerprint uint64) SuspectState
	addressTTL   time.Duration
	origin       time.Time // Wall time at boot, read once.
}

// Option changes how New builds an Entry.
type Option func(*Entry)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(e *Entry) { e.clk = c } }

// WithAdmission sets the check of owners' limits. The returned function ends
// the request's use of the limits.
func WithAdmission(f func(estate catalogue.Estate, owner string, class catalogue.Class, s *catalogue.Service) (func(), error)) Option {
	return func(e *Entry) { e.admit = f }
}

// WithSuspectState sets the lookup of fingerprints that crashed searchers.
func WithSuspectState(f func(fingerprint uint64) SuspectState) Option {
	return func(e *Entry) { e.suspectState = f }
}

// WithAddressTTL sets how long callers may keep the address answer.
func WithAddressTTL(d time.Duration) Option { return func(e *Entry) { e.addressTTL = d } }

// WithOnce sets the identifier table of non-idempotent requests and the
// incarnation that they belong to.
func WithOnce(t *once.Table, incarnation string) Option {
	return func(e *Entry) { e.once, e.incarnation = t, incarnation }
}

// New returns an Entry over the fleet.
func New(fleet Fleet, opts ...Option) *Entry {
	e := &Entry{
		fleet: fleet,
		clk:   clock.System{},
		admit: func(catalogue.Estate, string, catalogue.Class, *catalogue.Service) (func(), error) {
			return func() {}, nil
		},
		suspectState: func(uint64) SuspectState { return Clean },
		addressTTL:   defaultKeep,
	}
	for _, o := range opts {
		o(e)
	}
	if e.once == nil {
		e.once = once.NewTable(once.WithClock(e.clk))
	}
	e.table = newTable(e.clk)
	e.reach = newReach(e.clk)
	e.budget = newBudget()
	// The wall clock may be set while the daemon runs; tickets need a time
	// that only goes forward.
	e.origin = e.clk.Now().Add(-e.clk.Boot())
	return e
}

// Leave makes the entry refuse new requests. Requests in flight go on.
func (e *Entry) Leave() { e.closing.Store(true) }

// InFlight returns the number of requests in flight.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// RecordContact records whether a daemon answered a call of another part.
func (e *Entry) RecordContact(h Home, answered bool) {
	if answered {
		e.reach.answered(h)
	} else {
		e.reach.failed(h)
	}
}

// Reachable reports whether the daemon of that name answered the latest call to
// it. The membership shows a lost daemon only after its lease.
func (e *Entry) Reachable(name string) bool { return e.reach.answers(name) }

// Now returns the wall time at start plus the time since, which never goes back.
func (e *Entry) Now() time.Time { return e.origin.Add(e.clk.Boot()) }

// accept checks what every request has in common. Its refusals precede any
// send, so they are "not run".
func (e *Entry) accept(q *Query) (*catalogue.Service, uint64, func(), error) {
	if e.closing.Load() {
		return nil, 0, nil, refusal.New(refusal.ShuttingDown, "daemon is leaving")
	}
	estate, ok := e.fleet.Estate()
	if !ok {
		return nil, 0, nil, refusal.New(refusal.NoConfiguration, "daemon has no catalogue yet")
	}
	s, ok := estate.Service(q.service)
	if !ok {
		return nil, 0, nil, refusal.New(refusal.UnknownService, "service %q is not in the catalogue", q.service)
	}
	bound := int64(maxInFlight)
	if q.class == catalogue.Batch {
		bound = maxBatchInFlight
	}
	if e.inFlight.Add(1) > bound {
		e.inFlight.Add(-1)
		return nil, 0, nil, refusal.New(refusal.Overloaded, "daemon has %d requests in flight", bound)
	}
	release, err := e.admit(estate, q.owner, q.class, s)
	if err != nil {
		e.inFlight.Add(-1)
		return nil, 0, nil, err
	}
	if limit := s.MaxDeadline(); limit > 0 {
		q.deadline = min(q.deadline, limit)
	}
	return s, estate.Generation(), func() {
		release()
		e.inFlight.Add(-1)
	}, nil
}
