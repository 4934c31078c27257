package entry

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// search is the work of one query: up to 1 + maxRestarts fan-outs.
type search struct {
	e       *Entry
	q       Query
	service *catalogue.Service
	layout  *layout
	// deadline is the boot time at which the answer leaves.
	deadline    time.Duration
	fingerprint uint64
	suspect     bool
	tried       []target
}

// Search answers a query that arrived at the boot time.
func (e *Entry) Search(ctx context.Context, q Query, arrived time.Duration) (*Answer, error) {
	service, generation, release, err := e.accept(&q)
	if err != nil {
		return nil, err
	}
	defer release()
	fp := q.Fingerprint()
	standing := e.suspectState(fp)
	if standing == Refused {
		return nil, refusal.New(refusal.Poisoned, "equal requests crashed searchers twice")
	}
	margin := min(answerMargin, q.deadline/marginDivisor)
	s := &search{
		e: e, q: q, service: service, layout: e.layouts.of(generation, service),
		deadline: arrived + q.deadline - margin, fingerprint: fp, suspect: standing == Suspect,
	}
	if s.deadline <= e.clk.Boot() {
		return nil, refusal.New(refusal.Deadline, "no time left on arrival").WithRan(refusal.NotRun)
	}
	ctx, cancel := clock.WithDeadline(ctx, e.clk, s.deadline)
	defer cancel()
	a, err := s.answer(ctx)
	e.observe(service.Name(), a, e.clk.Boot()-arrived)
	return a, err
}

// answer fans out until a complete answer is found or no restart can better
// the one at hand.
func (s *search) answer(ctx context.Context) (*Answer, error) {
	var best *Answer
	var last *fanout
	for restarts := 0; ; restarts++ {
		s.ask(ctx)
		p, ok := choose(s.layout, s.e.table, s.q.id, s.tried)
		if !ok {
			break
		}
		if last != nil && !s.mayRestart(ctx, p, best, last, restarts) {
			break
		}
		invariant.Check("entry.restarts", restarts <= maxRestarts, "query %s restarts %d times", s.q.id, restarts)
		s.tried = append(s.tried, p.target)
		f := newFanout(s, p)
		f.ran = ranOf(last)
		f.work(ctx)
		last = f
		if a := merge(s.q.id, s.q.limit, p); a != nil && (best == nil || a.fraction() > best.fraction()) {
			best = a
		}
		if !f.stale {
			break
		}
		// A withdrawn snapshot or a new partition map concerns all groups.
		for _, g := range s.layout.shards {
			for _, id := range g.groups {
				s.e.table.doubt(id)
			}
		}
	}
	switch {
	case best != nil:
		return best, nil
	case last == nil:
		return nil, refusal.New(refusal.NoSnapshot, "no shard of %q has announced a snapshot", s.q.service)
	default:
		return nil, last.refusal(ctx)
	}
}

func (s *search) mayRestart(ctx context.Context, p *plan, best *Answer, last *fanout, restarts int) bool {
	have := 0
	if best != nil {
		have = len(p.lanes) - len(best.missing)
	}
	switch {
	case restarts > maxRestarts, s.suspect, ctx.Err() != nil:
		return false
	case s.deadline-s.e.clk.Boot() < minRestart:
		return false
	case p.known <= have:
		return false
	}
	if !s.e.budget.spend(s.service.Name(), last.mayHaveRun()) {
		meter.Count("entry.restart.no_budget", 1)
		return false
	}
	meter.Retried("entry", refusal.SnapshotGone)
	return true
}

// observe updates the figures of one service.
func (e *Entry) observe(service string, a *Answer, took time.Duration) {
	meter.Latency("entry.latency."+service, took)
	if a == nil {
		return
	}
	meter.Count("entry.answers."+service, 1)
	if len(a.missing) > 0 {
		meter.Count("entry.partial."+service, 1)
		for _, m := range a.missing {
			meter.Count("entry.missing."+string(m.reason), 1)
		}
	}
	meter.Sample("entry.coverage_ppm."+service, int64(a.fraction()*1e6))
}
