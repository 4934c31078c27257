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

// search is the state of one query, which takes up to 1 + maxRestarts fan-outs.
type search struct {
	e       *Entry
	q       Query
	service *catalogue.Service
	layout  *layout
	// deadline is the boot time at which the answer is built.
	deadline      time.Duration
	fingerprint   uint64
	suspect       bool
	triedVersions []indexVersion
}

// Search answers a query that arrived at the given boot time. Its errors are
// refusals.
func (e *Entry) Search(ctx context.Context, q Query, arrived time.Duration) (*Answer, error) {
	service, generation, release, err := e.accept(&q, arrived)
	if err != nil {
		return nil, err
	}
	defer release()
	fp := q.Fingerprint()
	state := e.suspectState(fp)
	if state == Refused {
		return nil, refusal.New(refusal.Poisoned, "equal requests crashed searchers twice")
	}
	margin := min(answerMargin, q.deadline/answerMarginDivisor)
	s := &search{
		e: e, q: q, service: service, layout: e.layouts.get(generation, service),
		deadline: arrived + q.deadline - margin, fingerprint: fp, suspect: state == Suspect,
	}
	if s.deadline <= e.clk.Boot() {
		return nil, refusal.New(refusal.Deadline, "deadline passed before the query was planned").WithRan(refusal.NotRun)
	}
	ctx, cancel := clock.WithDeadline(ctx, e.clk, s.deadline)
	defer cancel()
	a, err := s.answer(ctx)
	if a != nil && len(a.missing) == 0 {
		e.answered(fp)
	}
	e.observe(service.Name(), a, e.clk.Boot()-arrived)
	return a, err
}

// answer fans out until an answer is complete or a restart cannot improve on the
// best answer so far. It returns the answer with the highest coverage.
func (s *search) answer(ctx context.Context) (*Answer, error) {
	var best *Answer
	var last *fanout
	for restarts := 0; ; restarts++ {
		s.refreshLabels(ctx)
		p, ok := choosePlan(s.layout, s.e.labels, s.q.id, s.triedVersions)
		if !ok {
			break
		}
		if last != nil && !s.mayRestart(ctx, p, best, last, restarts) {
			break
		}
		invariant.Check("entry.restarts", restarts <= maxRestarts, "query %s restarts %d times", s.q.id, restarts)
		s.triedVersions = append(s.triedVersions, p.version)
		f := newFanout(s, p)
		f.ran = ranOf(last)
		f.run(ctx)
		last = f
		if a := merge(s.q.id, s.q.limit, p); a != nil && (best == nil || a.fraction() > best.fraction()) {
			best = a
		}
		if !f.stale {
			break
		}
		// A withdrawn snapshot or a new partition map affects all groups.
		for _, g := range s.layout.shards {
			for _, id := range g.groups {
				s.e.labels.invalidate(id)
			}
		}
	}
	switch {
	case best != nil:
		return best, nil
	case last == nil:
		return nil, refusal.New(refusal.NoSnapshot, "no shard of %q has announced a snapshot", s.q.service)
	default:
		return nil, last.refusalError(ctx)
	}
}

// mayRestart reports whether to fan out again with the plan p after the fan-out
// last. If so, it takes the tokens for the repeated subqueries from the budget.
func (s *search) mayRestart(ctx context.Context, p *plan, best *Answer, last *fanout, restarts int) bool {
	covered := 0
	if best != nil {
		covered = len(p.subqueries) - len(best.missing)
	}
	switch {
	case restarts > maxRestarts, s.suspect, ctx.Err() != nil:
		return false
	case s.deadline-s.e.clk.Boot() < minRestartTime:
		return false
	case p.announced <= covered:
		return false
	}
	if !s.e.budget.spend(s.service.Name(), last.countMayHaveRun()) {
		meter.Count("entry.restart.no_budget", 1)
		return false
	}
	meter.Retried("entry", refusal.SnapshotGone)
	return true
}

// observe records latency and coverage metrics of one query.
func (e *Entry) observe(service string, a *Answer, took time.Duration) {
	meter.ObserveLatency("entry.latency."+service, took)
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
	meter.ObserveValue("entry.coverage_ppm."+service, int64(a.fraction()*1e6))
}
