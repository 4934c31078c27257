package query

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/targets"
)

// single sends the request to a target of the service, with retries and hedges,
// and returns the answer of one target unchanged.
func (r *run) single(ctx context.Context, service string) Answer {
	p := &part{service: service, group: r.group(service)}
	r.results = make(chan *targets.Call, maxSends)
	now := r.clock.Now()
	if p.group != nil {
		p.estimate = p.group.EstimateKind(r.stats.latency, r.kind, r.end.Sub(now), r.estimateFor())
	}
	if !p.estimate.SendsInTime() || !r.attempt(p, 0, now, false) {
		return refuse(refusal.NoSearcher, r.retryAfterQueue([]*part{p}, r.retryAfterLimits([]*part{p}, 1, now)), "no target of %s accepts the request", service)
	}
	callerLeft := false
	defer func() { p.abandon(p.relayed, callerLeft) }()
	timer := r.clock.NewTimer(r.nextSingle(p, now).Sub(now))
	defer timer.Stop()
	for {
		select {
		case c := <-r.results:
			if a, done := r.handleSingle(p, c); done {
				return a
			}
		case <-timer.C():
			now = r.clock.Now()
			if !now.Before(r.end) {
				return r.endSingle(p, r.timeoutAnswer)
			}
			if r.mustRefuse(now, p) {
				return r.notOffered(now, p)
			}
			if r.route.Idempotent() {
				r.hedgePart(p, 0, now)
			}
			timer.Reset(max(r.nextSingle(p, now).Sub(now), time.Millisecond))
		case <-ctx.Done():
			if endedByShutdown(ctx) {
				r.end = r.clock.Now()
				return r.endSingle(p, r.shutdownAnswer)
			}
			callerLeft = r.route.Idempotent()
			return refuse(refusal.Cancelled, 0, "caller left after %v", r.clock.Now().Sub(r.started))
		}
	}
}

// handleSingle records the result of a call. It returns the final answer if the
// request is done, and otherwise leaves a call pending.
func (r *run) handleSingle(p *part, c *targets.Call) (Answer, bool) {
	p.recordResult(c)
	r.recordFailure(p, c)
	r.broken = p.broken
	if p.answer != nil {
		r.recordAnswer(p)
		return r.relay(p, p.answer), true
	}
	if p.pending > 0 || r.retry(p) {
		return Answer{}, false
	}
	if p.failure != nil {
		r.recordAnswer(p)
		return r.relay(p, p.failure), true
	}
	return r.failedAnswer(p), true
}

// endSingle ends a request whose time is over. A result that arrived at the same
// time counts; otherwise the answer is that of unanswered.
func (r *run) endSingle(p *part, unanswered func(*part) Answer) Answer {
	for {
		select {
		case c := <-r.results:
			if a, done := r.handleSingle(p, c); done {
				return a
			}
		default:
			r.recordUnanswered([]*part{p})
			return unanswered(p)
		}
	}
}

// retry sends the request to another target after a failure. A non-idempotent
// request is sent again only if no target can have run it.
func (r *run) retry(p *part) bool {
	if !r.route.Idempotent() && p.mayRun > 0 {
		return false
	}
	if !r.attempt(p, 0, r.clock.Now(), false) {
		return false
	}
	meter.Count("query.retried."+string(p.calls[len(p.calls)-2].Outcome()), 1)
	return true
}

// nextSingle returns when to check the request again.
func (r *run) nextSingle(p *part, now time.Time) time.Time {
	end := r.offerDeadline(r.end, p)
	if !r.route.Idempotent() || p.mayRun >= r.maxTargets() {
		return end
	}
	if t := r.nextHedge(p, now); t.Before(end) {
		return t
	}
	return end
}

// relay returns the answer of a target.
func (r *run) relay(p *part, c *targets.Call) Answer {
	p.relayed = c
	return Answer{response: c.Response(), release: func() { p.group.Abandon(c, false) }}
}

// failedAnswer returns a refusal for a request whose attempts all ended without
// an answer.
func (r *run) failedAnswer(p *part) Answer {
	last := p.calls[len(p.calls)-1]
	if p.mayRun == 0 {
		return refuse(refusal.Overloaded, r.retryAfter(r.clock.Now()), "targets of %s refused the request: %s", p.service, last.Outcome())
	}
	return refuse(refusal.SearcherFailed, 0, "connection to %s ended: %s", last.TargetID(), last.Reason())
}

// timeoutAnswer returns a refusal for a request whose time is over. The request
// certainly did not run if every call was refused or never sent.
func (r *run) timeoutAnswer(p *part) Answer {
	if noneRan([]*part{p}) {
		return refuse(refusal.Overloaded, r.retryAfter(r.clock.Now()), "no target of %s had capacity in time", p.service)
	}
	return refuse(refusal.Deadline, 0, "no target of %s answered in time", p.service)
}

// shutdownAnswer returns a refusal for a request that is unfinished when the
// daemon ends.
func (r *run) shutdownAnswer(p *part) Answer {
	if noneRan([]*part{p}) {
		return refuse(refusal.ShuttingDown, ShutdownRetryAfter, "daemon ended before %s ran the request", p.service)
	}
	return refuse(refusal.Deadline, 0, "no target of %s answered before the daemon ended", p.service)
}
