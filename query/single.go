package query

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/targets"
)

// single sends the request to one target of the service and returns its answer
// unchanged.
func (r *run) single(ctx context.Context, service string) Answer {
	p := &part{service: service, group: r.group(service)}
	r.results = make(chan *targets.Call, maxSends)
	now := r.clock.Now()
	if p.group == nil || !p.group.Estimate(r.habit.pace, r.end.Sub(now)).SendsInTime() || !r.attempt(p, 0, now, false) {
		return refuse(refusal.NoSearcher, r.comeBack(now), "no target of %s accepts the request", service)
	}
	var kept *targets.Call
	callerLeft := false
	defer func() { p.abandon(kept, callerLeft) }()
	timer := r.clock.NewTimer(r.nextSingle(p, now).Sub(now))
	defer timer.Stop()
	for {
		select {
		case c := <-r.results:
			p.take(c)
			r.noteResult(p, c)
			if p.answer != nil {
				if r.suspect > 0 {
					r.crash.Clear(r.send.Fingerprint())
				}
				kept = p.answer
				return r.relay(p, kept)
			}
			if p.open > 0 || r.again(p) {
				continue
			}
			if p.failure != nil {
				kept = p.failure
				return r.relay(p, kept)
			}
			return r.lost(p)
		case <-timer.C():
			now = r.clock.Now()
			if !now.Before(r.end) {
				r.noteSilent([]*part{p})
				return r.overdue(p)
			}
			if r.route.Idempotent() {
				r.hedgePart(p, 0, now)
			}
			timer.Reset(max(r.nextSingle(p, now).Sub(now), time.Millisecond))
		case <-ctx.Done():
			callerLeft = r.route.Idempotent()
			return refuse(refusal.Cancelled, 0, "caller left after %v", r.clock.Now().Sub(r.started))
		}
	}
}

// again tries another target after a failure. A request that must not run twice
// is sent again only if no target can have run it.
func (r *run) again(p *part) bool {
	if !r.route.Idempotent() && p.mayRun > 0 {
		return false
	}
	if !r.attempt(p, 0, r.clock.Now(), false) {
		return false
	}
	meter.Count("query.retried."+string(p.calls[len(p.calls)-2].Outcome()), 1)
	return true
}

// nextSingle returns when to look at the request again.
func (r *run) nextSingle(p *part, now time.Time) time.Time {
	if !r.route.Idempotent() || p.mayRun >= r.maxTargets() {
		return r.end
	}
	if t := r.nextHedge(p, now); t.Before(r.end) {
		return t
	}
	return r.end
}

// relay returns the answer of a target.
func (r *run) relay(p *part, c *targets.Call) Answer {
	return Answer{response: c.Response(), release: func() { p.group.Abandon(c, false) }}
}

// lost explains the end of all attempts without an answer.
func (r *run) lost(p *part) Answer {
	last := p.calls[len(p.calls)-1]
	if p.mayRun == 0 {
		return refuse(refusal.Overloaded, r.comeBack(r.clock.Now()), "targets of %s refused the request: %s", p.service, last.Outcome())
	}
	return refuse(refusal.SearcherFailed, 0, "connection to %s ended: %s", last.TargetID(), last.Reason())
}

// overdue answers a request whose time is over. It is known not to have run if
// every call was refused or never sent.
func (r *run) overdue(p *part) Answer {
	unsent := 0
	for _, c := range p.calls {
		if p.group.Dequeue(c) {
			unsent++
		}
	}
	if p.mayRun == unsent {
		return refuse(refusal.Overloaded, 0, "no target of %s had room in time", p.service)
	}
	return refuse(refusal.Deadline, 0, "no target of %s answered in time", p.service)
}
