package query

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/admission"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/cost"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/route"
	"medlaryard.example/medlaryard/targets"
)

// Engine answers requests under the configuration in force.
type Engine struct {
	clock    clock.Clock
	log      zerolog.Logger
	stamp    func(*fasthttp.Response) string
	allow    func(*route.Route, targets.Entry) bool
	suspects *admission.Suspects
	byCost   bool // Requests have kinds.
	observe  func(account string) targets.Observer

	trialRank func(fingerprint uint64) int

	table  atomic.Pointer[route.Table]
	mu     sync.RWMutex
	groups map[string]*targets.Group
	stats  map[string]*routeStats

	logMu    sync.Mutex
	throttle *logThrottle
}

// routeStats holds the estimates for the requests of one route.
type routeStats struct {
	latency  *targets.LatencyEstimator
	costs    *cost.Route
	timeouts timeoutVote
}

// Option sets one property of an Engine.
type Option func(*Engine)

// Clock sets the source of time.
func Clock(c clock.Clock) Option { return func(e *Engine) { e.clock = c } }

// Log sets the logger for requests and decisions.
func Log(l zerolog.Logger) Option { return func(e *Engine) { e.log = l } }

// Stamp sets the function that returns the signature of a part from a target's
// answer.
func Stamp(f func(*fasthttp.Response) string) Option { return func(e *Engine) { e.stamp = f } }

// Allow sets the function that reports whether a target may serve a route.
func Allow(f func(*route.Route, targets.Entry) bool) Option { return func(e *Engine) { e.allow = f } }

// Suspects sets the table of requests that crashed targets.
func Suspects(s *admission.Suspects) Option { return func(e *Engine) { e.suspects = s } }

// LearnCosts makes the engine learn the service time of requests by their size and
// shape, for groups that place requests by cost.
func LearnCosts() Option { return func(e *Engine) { e.byCost = true } }

// Observe sets the function that returns the observer of a request's sends to
// targets, from the name of the request's account. The observer may be nil.
func Observe(f func(account string) targets.Observer) Option {
	return func(e *Engine) { e.observe = f }
}

// NewEngine returns an engine without a configuration; it refuses all requests
// until Install is called.
func NewEngine(opts ...Option) *Engine {
	e := &Engine{
		clock:   clock.System{},
		log:     zerolog.Nop(),
		stamp:   func(*fasthttp.Response) string { return "" },
		allow:   func(*route.Route, targets.Entry) bool { return true },
		observe: func(string) targets.Observer { return nil },
		groups:  make(map[string]*targets.Group),
		stats:   make(map[string]*routeStats),

		trialRank: func(uint64) int { return 0 },
		throttle:  newLogThrottle(),
	}
	for _, o := range opts {
		o(e)
	}
	if e.suspects == nil {
		e.suspects = admission.NewSuspects(e.clock, func([]*peerpb.CrashStrike) {})
	}
	return e
}

// Table returns the configuration in force, or nil.
func (e *Engine) Table() *route.Table { return e.table.Load() }

// Install replaces the configuration and the groups of its services, and
// deletes the statistics of routes that were removed.
func (e *Engine) Install(t *route.Table, groups map[string]*targets.Group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.groups = groups
	for name := range e.stats {
		if !t.HasRoute(name) {
			delete(e.stats, name)
			meter.Unregister(latencyMetric(name))
		}
	}
	if previous := e.table.Swap(t); previous != nil {
		unregisterAccounts(previous.Accounts(), t.Accounts())
	}
}

// latencyMetric returns the name of the latency histogram of a route.
func latencyMetric(route string) string { return "query.latency." + route }

func (e *Engine) group(service string) *targets.Group {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.groups[service]
}

func (e *Engine) routeStats(r *route.Route) *routeStats {
	e.mu.RLock()
	stats := e.stats[r.Name()]
	e.mu.RUnlock()
	if stats != nil {
		return stats
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if stats = e.stats[r.Name()]; stats == nil {
		stats = &routeStats{latency: targets.NewLatencyEstimator(r.Objective()), costs: cost.NewRoute(r.Objective())}
		e.stats[r.Name()] = stats
	}
	return stats
}

// Do answers one request of a route of t. The request arrived at started; from
// then on its caller waits for callerTimeout. If ctx ends because the caller
// has left, Do returns a refusal at once. If it ends with the cause ErrShutdown,
// Do returns the best answer available.
func (e *Engine) Do(ctx context.Context, t *route.Table, r *route.Route, request *targets.Request, started time.Time, callerTimeout time.Duration) Answer {
	stats := e.routeStats(r)
	elapsed := time.Duration(stats.timeouts.estimateElapsed(callerTimeout.Milliseconds())) * time.Millisecond
	median, kind := stats.latency.Median(), e.kind(stats, request)
	if kind != nil {
		median = max(median, kind.Predict().Median())
	}
	current := &run{
		observer: e.observe(request.Account()),
		Engine:   e, route: r, request: request, stats: stats, started: started, readAt: e.clock.Now(), kind: kind,
		schedule: newSchedule(r, started, callerTimeout, elapsed, median),
	}
	a, ok := current.admit()
	if ok {
		defer current.endTrial()
		if r.Sharded() {
			a = current.gather(ctx)
		} else {
			a = current.single(ctx, r.NextService())
		}
	}
	e.recordOutcome(current, a, t)
	return a
}

// kind returns the kind of a request, or nil if no costs are learned.
func (e *Engine) kind(stats *routeStats, request *targets.Request) *cost.Kind {
	if !e.byCost {
		return nil
	}
	return stats.costs.Kind(cost.ShapeOf(request.URI(), len(request.Body())))
}

// recordOutcome counts and logs the outcome of a request. Requests that failed,
// lack parts or missed their objective are logged with the decisions made for
// them, within the rate limit of the log; of the other requests a sample is
// logged.
func (e *Engine) recordOutcome(r *run, a Answer, t *route.Table) {
	took := e.clock.Now().Sub(r.started)
	meter.ObserveLatency(latencyMetric(r.route.Name()), took)
	outcome, missing := "answered", 0
	switch {
	case a.refusal != nil:
		outcome = string(a.refusal.Kind())
		meter.Refused("query", a.refusal.Kind())
	case a.merged != nil && a.merged.missing > 0:
		outcome, missing = "partial", a.merged.missing
		meter.Count("query.partial", 1)
	case took > r.route.Objective():
		outcome = "late"
		meter.Count("query.late", 1)
	}
	e.countAccount(r.request.Account(), outcome, a.refusal != nil)
	e.logMu.Lock()
	defer e.logMu.Unlock()
	if outcome == "answered" && !e.throttle.shouldSample() {
		return
	}
	ok, dropped := e.throttle.allow(e.clock.Now(), len(r.decisions)+1)
	if dropped > 0 {
		e.log.Warn().Int("lines", dropped).Msg("lines about requests were left out")
	}
	if !ok {
		return
	}
	r.logDecisions(&e.log)
	l := e.log.Info().Str("request", r.request.ID()).Str("route", r.route.Name()).Uint64("configuration", t.Version()).
		Str("outcome", outcome).Dur("took", took).Dur("objective", r.route.Objective()).
		Dur("usual", r.stats.latency.Median()).Int("sends", r.sends)
	if name := r.request.Account(); name != "" {
		l = l.Str("account", name)
	}
	if missing > 0 {
		l = l.Int("missing", missing).Strs("shards", r.missing)
	}
	if r.kind != nil {
		p := r.kind.Predict()
		l = l.Dur("expected_cost", p.Mean()).Float64("cost_confidence", p.Confidence())
	}
	if a.refusal != nil {
		l = l.Str("cause", a.refusal.Error()).Dur("retry_after", a.retryAfter)
	}
	l.Msg("request")
}

func refuse(kind refusal.Kind, retry time.Duration, format string, args ...any) Answer {
	return Answer{refusal: refusal.New(kind, format, args...), retryAfter: retry}
}
