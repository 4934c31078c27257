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
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/route"
	"medlaryard.example/medlaryard/targets"
)

// Engine answers requests under the configuration in force.
type Engine struct {
	clock clock.Clock
	log   zerolog.Logger
	stamp func(*fasthttp.Response) string
	allow func(*route.Route, targets.Entry) bool
	crash *admission.Suspects

	table  atomic.Pointer[route.Table]
	mu     sync.RWMutex
	groups map[string]*targets.Group
	habits map[string]*habit

	storyMu  sync.Mutex
	throttle *throttle
}

// habit is what is known of the requests of one route.
type habit struct {
	pace     *targets.LatencyEstimator
	patience patienceVote
}

// Option sets one property of an Engine.
type Option func(*Engine)

// Clock sets the source of time.
func Clock(c clock.Clock) Option { return func(e *Engine) { e.clock = c } }

// Log sets where decisions are logged.
func Log(l zerolog.Logger) Option { return func(e *Engine) { e.log = l } }

// Stamp sets how the signature of a part is read from a target's answer.
func Stamp(f func(*fasthttp.Response) string) Option { return func(e *Engine) { e.stamp = f } }

// Allow sets which targets may serve a route.
func Allow(f func(*route.Route, targets.Entry) bool) Option { return func(e *Engine) { e.allow = f } }

// Suspects sets the table of requests that crashed targets.
func Suspects(s *admission.Suspects) Option { return func(e *Engine) { e.crash = s } }

// NewEngine returns an engine without a configuration; it refuses all requests
// until Install is called.
func NewEngine(opts ...Option) *Engine {
	e := &Engine{
		clock:  clock.System{},
		log:    zerolog.Nop(),
		stamp:  func(*fasthttp.Response) string { return "" },
		allow:  func(*route.Route, targets.Entry) bool { return true },
		groups: make(map[string]*targets.Group),
		habits: make(map[string]*habit),

		throttle: newThrottle(),
	}
	for _, o := range opts {
		o(e)
	}
	if e.crash == nil {
		e.crash = admission.NewSuspects(e.clock, func([]*peerpb.CrashStrike) {})
	}
	return e
}

// Table returns the configuration in force, or nil.
func (e *Engine) Table() *route.Table { return e.table.Load() }

// Install puts a configuration and the groups of its services in force.
func (e *Engine) Install(t *route.Table, groups map[string]*targets.Group) {
	e.mu.Lock()
	e.groups = groups
	for name := range e.habits {
		if !t.HasRoute(name) {
			delete(e.habits, name)
			meter.Forget(latencyMetric(name))
		}
	}
	e.mu.Unlock()
	e.table.Store(t)
}

// latencyMetric is the name of the latency histogram of a route.
func latencyMetric(route string) string { return "query.latency." + route }

func (e *Engine) group(service string) *targets.Group {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.groups[service]
}

func (e *Engine) habit(r *route.Route) *habit {
	e.mu.RLock()
	h := e.habits[r.Name()]
	e.mu.RUnlock()
	if h != nil {
		return h
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if h = e.habits[r.Name()]; h == nil {
		h = &habit{pace: targets.NewLatencyEstimator(r.Objective())}
		e.habits[r.Name()] = h
	}
	return h
}

const (
	// maxCrashes is after how many crashes equal requests are refused.
	maxCrashes = 2
	// crashRound is the time within which crashes count as one, since a request
	// runs on the targets of all shards at once.
	crashRound = 700 * time.Millisecond
	// outlawRetry is when a caller may try a refused suspect again.
	outlawRetry = time.Second
)

// Crashed notes that a target crashed while it worked on a request.
func (e *Engine) Crashed(fingerprint uint64) {
	switch {
	case e.crash.Crashes(fingerprint) == 0:
		e.crash.RecordCrash(fingerprint)
	case e.crash.Age(fingerprint) > crashRound:
		e.crash.RecordRepeatCrash(fingerprint)
	}
	e.log.Warn().Uint64("fingerprint", fingerprint).Int("crashes", e.crash.Crashes(fingerprint)).
		Msg("target crashed while it worked on a request")
}

// Do answers one request of a caller that waits for patience. It returns early
// when ctx ends because the caller has left.
func (e *Engine) Do(ctx context.Context, t *route.Table, r *route.Route, send *targets.Request, started time.Time, patience time.Duration) Answer {
	h := e.habit(r)
	elapsed := time.Duration(h.patience.elapsed(patience.Milliseconds())) * time.Millisecond
	req := &run{
		Engine: e, route: r, send: send, habit: h, started: started,
		schedule: newSchedule(r, started, patience, elapsed, h.pace.Median()),
	}
	var a Answer
	req.suspect = e.crash.Crashes(send.Fingerprint())
	if req.suspect >= maxCrashes {
		a = refuse(refusal.Poisoned, outlawRetry, "equal requests crashed targets twice")
	} else if r.Sharded() {
		a = req.gather(ctx)
	} else {
		a = req.single(ctx, r.NextService())
	}
	e.account(req, a, t.Version())
	return a
}

// account counts and logs the outcome of a request. Requests that failed, lack
// parts or missed their objective are logged with the decisions about them.
func (e *Engine) account(r *run, a Answer, version uint64) {
	took := e.clock.Now().Sub(r.started)
	meter.Latency(latencyMetric(r.route.Name()), took)
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
	e.storyMu.Lock()
	defer e.storyMu.Unlock()
	if outcome == "answered" && !e.throttle.sampled() {
		return
	}
	ok, leftOut := e.throttle.allow(e.clock.Now(), len(r.story)+1)
	if leftOut > 0 {
		e.log.Warn().Int("lines", leftOut).Msg("lines about requests were left out")
	}
	if !ok {
		return
	}
	r.tell(&e.log)
	l := e.log.Info().Str("request", r.send.ID()).Str("route", r.route.Name()).Uint64("configuration", version).
		Str("outcome", outcome).Dur("took", took).Dur("objective", r.route.Objective()).
		Dur("usual", r.habit.pace.Median()).Int("sends", r.sends)
	if missing > 0 {
		l = l.Int("missing", missing).Strs("shards", r.missing)
	}
	if a.refusal != nil {
		l = l.Str("cause", a.refusal.Error()).Dur("retry_after", a.retryAfter)
	}
	l.Msg("request")
}

func refuse(kind refusal.Kind, retry time.Duration, format string, args ...any) Answer {
	return Answer{refusal: refusal.New(kind, format, args...), retryAfter: retry}
}
