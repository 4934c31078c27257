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
	cfg    Config
	name   string
	book   *book
	sender *sender
	check  checker
	ledger *ledger
	report *Report
}

// Run sends cfg.Count requests, each at its intended time whether or not
// earlier ones were answered, and returns when all are answered or given up.
// It ends early with ctx.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg = cfg.withDefaults()
	if cfg.Rate <= 0 || cfg.Count <= 0 || len(cfg.Daemons) == 0 {
		return nil, fmt.Errorf("rate %g, count %d and %d daemons: all must be positive", cfg.Rate, cfg.Count, len(cfg.Daemons))
	}
	s := newSender()
	g := &generator{
		cfg:    cfg,
		name:   fmt.Sprintf("load-%x", time.Now().UnixNano()),
		book:   &book{client: s.client, seeds: cfg.Daemons},
		sender: s,
		check:  checker{corpus: cfg.Corpus},
		ledger: newLedger(),
		report: newReport(),
	}
	before, err := g.readings()
	if err != nil {
		return nil, err
	}
	g.sendAll(ctx)
	if err := g.finish(before); err != nil {
		return nil, err
	}
	return g.report, nil
}

// readings are the counters of daemons and searchers at one time.
type readings struct {
	counters []counters
	witness  Witness
}

func (g *generator) readings() (readings, error) {
	r := readings{counters: fetchAllCounters(g.cfg.Operators)}
	if g.cfg.Searchers == "" {
		return r, nil
	}
	var err error
	r.witness, err = fetchWitness(g.cfg.Searchers)
	return r, err
}

func (g *generator) sendAll(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.cfg.Seed, 2))
	room := make(chan struct{}, g.cfg.MaxInFlight)
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range g.cfg.Count {
		intended := start.Add(time.Duration(float64(i) / g.cfg.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(intended)):
		case <-ctx.Done():
			return
		}
		plan := g.plan(rng, i)
		select {
		case room <- struct{}{}:
		default:
			g.report.answer(g.report.queries, wireAnswer{Kind: kindNotSent}, 0, false)
			continue
		}
		wg.Go(func() {
			defer func() { <-room }()
			if plan.run {
				g.run(ctx, plan, intended)
				return
			}
			g.query(ctx, plan, intended)
		})
	}
}

// plan is one request with what was drawn for it.
type plan struct {
	request wireRequest
	run     bool
	resend  bool
}

func (g *generator) plan(rng *rand.Rand, i int) plan {
	p := plan{
		run:    rng.Float64() < g.cfg.RunRatio,
		resend: rng.Float64() < g.cfg.ResendRatio,
		request: wireRequest{
			ID:         fmt.Sprintf("%s-%d", g.name, i),
			Owner:      g.cfg.Owner,
			Class:      g.cfg.Class,
			Service:    g.cfg.Service,
			Route:      g.cfg.Route,
			DeadlineMS: g.cfg.Deadline.Milliseconds(),
			Limit:      g.cfg.Limit,
		},
	}
	p.request.Body = json.RawMessage(fmt.Sprintf(`"chorus %d"`, rng.IntN(g.cfg.Queries)))
	if p.run {
		p.request.Service = g.cfg.RunService
		p.request.Limit = 0
	}
	return p
}

func (g *generator) query(ctx context.Context, p plan, intended time.Time) {
	first, _, err := g.book.pick(ctx)
	if err != nil {
		g.report.answer(g.report.queries, wireAnswer{Kind: kindNoAddress}, 0, false)
		return
	}
	a := g.sender.send(first, "/v1/query", p.request)
	latency := time.Since(intended)
	g.heed(a)
	if a.Kind == "" {
		g.report.fault(g.check.fault(p.request, a))
	}
	g.report.answer(g.report.queries, a, latency, a.Coverage.Total > 0 && a.Coverage.Documents == a.Coverage.Total)
}

// run sends a non-idempotent request. A resend goes to the same daemon while
// the first is in flight and to another daemon afterwards.
func (g *generator) run(ctx context.Context, p plan, intended time.Time) {
	first, other, err := g.book.pick(ctx)
	if err != nil {
		g.report.answer(g.report.runs, wireAnswer{Kind: kindNoAddress}, 0, false)
		return
	}
	p.request.Ticket = &first.ticket
	var wg sync.WaitGroup
	if p.resend {
		wg.Go(func() { g.sendRun(first, p.request) })
	}
	a := g.sendRun(first, p.request)
	latency := time.Since(intended)
	g.heed(a)
	wg.Wait()
	if p.resend {
		g.sendRun(other, p.request)
	}
	g.report.answer(g.report.runs, a, latency, true)
}

func (g *generator) sendRun(t target, r wireRequest) wireAnswer {
	a := g.sender.send(t, "/v1/run", r)
	g.ledger.add(r.ID, a)
	return a
}

// heed asks for addresses again when an answer, a broken connection or silence
// advises it.
func (g *generator) heed(a wireAnswer) {
	if a.Kind == kindConnection || a.Kind == kindTimeout || a.Retry == "address" {
		g.book.expire()
	}
}

// finish reads the counters again and compares outcomes with runs.
func (g *generator) finish(before readings) error {
	after, err := g.readings()
	if err != nil {
		return err
	}
	extra, witness := extraBetween(before.counters, after.counters), after.witness.since(before.witness)
	extra.SubRequests = witness.Received
	if len(g.cfg.Operators) > 0 {
		g.report.extra = &extra
	}
	if g.cfg.Searchers == "" {
		return nil
	}
	g.report.witness = &witness
	var runs map[string]int
	if err := fetchJSON("http://"+g.cfg.Searchers+"/admin/runs", &runs); err != nil {
		return err
	}
	for _, f := range g.ledger.faults(runs) {
		g.report.fault(f)
	}
	return nil
}
