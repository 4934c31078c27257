package entry

import (
	"sync/atomic"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/once"
	"medlaryard.example/medlaryard/refusal"
)

// Entry answers queries and executes non-idempotent requests of callers. It is
// safe for concurrent use.
type Entry struct {
	fleet        Fleet
	clk          clock.Clock
	labels       *labelTable
	reachability *reachability
	budget       *budget
	layouts      layouts
	once         *once.Table
	cutoffs      ticketCutoffs
	// incarnation is this daemon's incarnation, as named in tickets.
	incarnation string
	sendCount   atomic.Uint64
	inFlight    atomic.Int64
	shutdown    *shutdown

	admit        func(estate catalogue.Estate, owner string, class catalogue.Class, s *catalogue.Service) (func(), error)
	suspectState func(fingerprint uint64) SuspectState
	answered     func(fingerprint uint64)
	addressTTL   time.Duration
	bootWallTime time.Time // Wall time at boot time 0, read once.
}

// Option configures an Entry that New creates.
type Option func(*Entry)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(e *Entry) { e.clk = c } }

// WithAdmission sets the admission check, which applies the owners' limits. The
// function that f returns releases the admitted request's part of the limits.
func WithAdmission(f func(estate catalogue.Estate, owner string, class catalogue.Class, s *catalogue.Service) (func(), error)) Option {
	return func(e *Entry) { e.admit = f }
}

// WithSuspectState sets the function that returns the state of a request's
// fingerprint. Without it every fingerprint is Clean.
func WithSuspectState(f func(fingerprint uint64) SuspectState) Option {
	return func(e *Entry) { e.suspectState = f }
}

// WithAnswered sets a function that is called with the fingerprint of each request that
// was answered completely.
func WithAnswered(f func(fingerprint uint64)) Option { return func(e *Entry) { e.answered = f } }

// WithAddressTTL sets how long callers may cache the list of addresses. The
// default is 5 s.
func WithAddressTTL(d time.Duration) Option { return func(e *Entry) { e.addressTTL = d } }

// WithOnce sets the identifier table of non-idempotent requests and the
// incarnation whose tickets this daemon executes.
func WithOnce(t *once.Table, incarnation string) Option {
	return func(e *Entry) { e.once, e.incarnation = t, incarnation }
}

// New returns an Entry that reaches the homes through fleet.
func New(fleet Fleet, opts ...Option) *Entry {
	e := &Entry{
		fleet:    fleet,
		clk:      clock.System{},
		shutdown: newShutdown(),
		admit: func(catalogue.Estate, string, catalogue.Class, *catalogue.Service) (func(), error) {
			return func() {}, nil
		},
		suspectState: func(uint64) SuspectState { return Clean },
		answered:     func(uint64) {},
		addressTTL:   defaultAddressTTL,
	}
	for _, o := range opts {
		o(e)
	}
	if e.once == nil {
		e.once = once.NewTable(once.WithClock(e.clk))
	}
	e.labels = newLabelTable(e.clk)
	e.reachability = newReachability(e.clk)
	e.budget = newBudget()
	// The wall clock may be set back while the daemon runs, but the time in
	// tickets must never go back.
	e.bootWallTime = e.clk.Now().Add(-e.clk.Boot())
	return e
}

// InFlight returns the number of requests in flight.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// RecordContact records whether a daemon answered a peer call that another
// package made.
func (e *Entry) RecordContact(h Home, answered bool) {
	if answered {
		e.reachability.recordSuccess(h)
	} else {
		e.reachability.recordFailure(h)
	}
}

// Reachable reports whether the named daemon answered the latest peer call. The
// membership drops a lost daemon only after its lease expires.
func (e *Entry) Reachable(name string) bool { return e.reachability.reachable(name) }

// Now returns the wall time at which the Entry was created plus the boot time
// elapsed since. It never goes back.
func (e *Entry) Now() time.Time { return e.bootWallTime.Add(e.clk.Boot()) }

// accept applies the checks common to all requests and limits the deadline of q,
// which arrived at the given boot time, to the service's maximum. It returns the
// service, the catalogue generation and a function that releases the admitted
// request. Refusals are "not run", because nothing has been sent yet.
func (e *Entry) accept(q *Query, arrived time.Duration) (*catalogue.Service, uint64, func(), error) {
	if e.shutdown.stopped.Load() {
		return nil, 0, nil, refusal.New(refusal.ShuttingDown, "daemon is shutting down")
	}
	estate, ok := e.fleet.Estate()
	if !ok {
		return nil, 0, nil, refusal.New(refusal.NoConfiguration, "daemon has not received a catalogue yet")
	}
	s, ok := estate.Service(q.service)
	if !ok {
		return nil, 0, nil, refusal.New(refusal.UnknownService, "service %q is not in the catalogue", q.service)
	}
	if limit := s.MaxDeadline(); limit > 0 {
		q.deadline = min(q.deadline, limit)
	}
	if !e.shutdown.fits(arrived + q.deadline) {
		return nil, 0, nil, refusal.New(refusal.ShuttingDown, "daemon is shutting down before the deadline of %v", q.deadline)
	}
	maxRequests := int64(maxInFlight)
	if q.class == catalogue.Batch {
		maxRequests = maxBatchInFlight
	}
	if e.inFlight.Add(1) > maxRequests {
		e.inFlight.Add(-1)
		return nil, 0, nil, refusal.New(refusal.Overloaded, "daemon is at its limit of %d requests in flight", maxRequests)
	}
	release, err := e.admit(estate, q.owner, q.class, s)
	if err != nil {
		e.inFlight.Add(-1)
		return nil, 0, nil, err
	}
	return s, estate.Generation(), func() {
		release()
		e.inFlight.Add(-1)
	}, nil
}
