package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// generator sends the requests of one run.
type generator struct {
	cfg       Config
	idPrefix  string
	addresses *addressCache
	sender    *sender
	checker   checker
	answers   *answerLog
	report    *Report
}

// Run sends cfg.Count requests, each at its scheduled time whether or not
// earlier ones were answered, and returns when all are answered or have timed
// out. After ctx is done it sends no more requests. It returns an error if cfg is
// invalid or the searchers' counters cannot be read.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg = cfg.withDefaults()
	if cfg.Rate <= 0 || cfg.Count <= 0 || len(cfg.Daemons) == 0 {
		return nil, fmt.Errorf("rate %g, count %d and number of daemons %d must all be positive", cfg.Rate, cfg.Count, len(cfg.Daemons))
	}
	s := newSender()
	g := &generator{
		cfg:       cfg,
		idPrefix:  fmt.Sprintf("load-%x", time.Now().UnixNano()),
		addresses: &addressCache{client: s.client, seeds: cfg.Daemons},
		sender:    s,
		checker:   checker{corpus: cfg.Corpus},
		answers:   newAnswerLog(),
		report:    newReport(),
	}
	before, err := g.readCounters()
	if err != nil {
		return nil, err
	}
	g.sendAll(ctx)
	if err := g.finish(before); err != nil {
		return nil, err
	}
	return g.report, nil
}

// counterReadings holds the counters of daemons and searchers at one time.
type counterReadings struct {
	counters  []counters
	searchers SearcherTotals
}

func (g *generator) readCounters() (counterReadings, error) {
	r := counterReadings{counters: fetchAllCounters(g.cfg.Operators)}
	if g.cfg.Searchers == "" {
		return r, nil
	}
	var err error
	r.searchers, err = fetchSearcherTotals(g.cfg.Searchers)
	return r, err
}

func (g *generator) sendAll(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.cfg.Seed, 2))
	inFlight := make(chan struct{}, g.cfg.MaxInFlight)
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range g.cfg.Count {
		scheduled := start.Add(time.Duration(float64(i) / g.cfg.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(scheduled)):
		case <-ctx.Done():
			return
		}
		planned := g.planRequest(rng, i)
		select {
		case inFlight <- struct{}{}:
		default:
			g.report.addAnswer(g.report.queryLatency, wireAnswer{Kind: kindNotSent}, 0, false)
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			if planned.nonIdempotent {
				g.run(ctx, planned, scheduled)
				return
			}
			g.query(ctx, planned, scheduled)
		})
	}
}

// plannedRequest is one request with its random choices.
type plannedRequest struct {
	request       wireRequest
	nonIdempotent bool
	resend        bool
}

func (g *generator) planRequest(rng *rand.Rand, i int) plannedRequest {
	p := plannedRequest{
		nonIdempotent: rng.Float64() < g.cfg.RunRatio,
		resend:        rng.Float64() < g.cfg.ResendRatio,
		request: wireRequest{
			ID:         fmt.Sprintf("%s-%d", g.idPrefix, i),
			Owner:      g.cfg.Owner,
			Class:      g.cfg.Class,
			Service:    g.cfg.Service,
			Route:      g.cfg.Route,
			DeadlineMS: g.cfg.Deadline.Milliseconds(),
			Limit:      g.cfg.Limit,
		},
	}
	p.request.Body = json.RawMessage(fmt.Sprintf(`"chorus %d"`, rng.IntN(g.cfg.Queries)))
	if p.nonIdempotent {
		p.request.Service = g.cfg.RunService
		p.request.Limit = 0
	}
	return p
}

func (g *generator) query(ctx context.Context, p plannedRequest, scheduled time.Time) {
	first, _, err := g.addresses.pick(ctx)
	if err != nil {
		g.report.addAnswer(g.report.queryLatency, wireAnswer{Kind: kindNoAddress}, 0, false)
		return
	}
	a := g.sender.send(first, "/v1/query", p.request)
	latency := time.Since(scheduled)
	g.expireAddressesAfter(a)
	if a.Kind == "" {
		g.report.addViolation(g.checker.violation(p.request, a))
	}
	g.report.addAnswer(g.report.queryLatency, a, latency, a.Coverage.Total > 0 && a.Coverage.Documents == a.Coverage.Total)
}

// run sends a non-idempotent request. With resend, a copy goes to the same daemon
// while the first is in flight, and another copy to the second daemon afterwards.
func (g *generator) run(ctx context.Context, p plannedRequest, scheduled time.Time) {
	first, second, err := g.addresses.pick(ctx)
	if err != nil {
		g.report.addAnswer(g.report.runLatency, wireAnswer{Kind: kindNoAddress}, 0, false)
		return
	}
	p.request.Ticket = &first.ticket
	var wg sync.WaitGroup
	if p.resend {
		wg.Go(func() { g.sendRun(first, p.request) })
	}
	a := g.sendRun(first, p.request)
	latency := time.Since(scheduled)
	g.expireAddressesAfter(a)
	wg.Wait()
	if p.resend {
		g.sendRun(second, p.request)
	}
	g.report.addAnswer(g.report.runLatency, a, latency, true)
}

func (g *generator) sendRun(e endpoint, r wireRequest) wireAnswer {
	a := g.sender.send(e, "/v1/run", r)
	g.answers.add(r.ID, a)
	return a
}

// expireAddressesAfter expires the cached addresses if the answer asks for that,
// the connection broke or the request timed out.
func (g *generator) expireAddressesAfter(a wireAnswer) {
	if a.Kind == kindConnection || a.Kind == kindTimeout || a.Retry == "address" {
		g.addresses.expire()
	}
}

// finish reads the counters again, adds their increase to the report and compares
// the answers to non-idempotent requests with the recorded runs.
func (g *generator) finish(before counterReadings) error {
	after, err := g.readCounters()
	if err != nil {
		return err
	}
	extraSends, searchers := extraSendsBetween(before.counters, after.counters), after.searchers.since(before.searchers)
	extraSends.SubRequests = searchers.Received
	if len(g.cfg.Operators) > 0 {
		g.report.extraSends = &extraSends
	}
	if g.cfg.Searchers == "" {
		return nil
	}
	g.report.searchers = &searchers
	var runs map[string]int
	if err := fetchJSON("http://"+g.cfg.Searchers+"/admin/runs", &runs); err != nil {
		return err
	}
	for _, v := range g.answers.violations(runs) {
		g.report.addViolation(v)
	}
	return nil
}
