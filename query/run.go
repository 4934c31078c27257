package query

import (
	"slices"
	"time"

	"medlaryard.example/medlaryard/cost"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/route"
	"medlaryard.example/medlaryard/targets"
)

// run is the state of one request while it is served.
type run struct {
	*Engine
	schedule

	route     *route.Route
	request   *targets.Request
	stats     *routeStats
	kind      *cost.Kind       // Nil unless costs are learned.
	observer  targets.Observer // Of the sends to targets; may be nil.
	started   time.Time
	readAt    time.Time // When the request was read completely.
	results   chan *targets.Call
	sends     int
	trial     bool     // The request may crash its targets.
	solo      bool     // It runs on trial, and no target has answered yet.
	broken    bool     // A connection broke after the request was sent.
	missing   []string // Shards without a part, for the log.
	decisions []decision
}

// part is the state of a request at one shard, or at the single service of a
// route.
type part struct {
	service      string
	group        *targets.Group
	calls        []*targets.Call
	pending      int  // Calls without a result.
	mayRun       int  // Calls that may have run or may still run.
	refused      int  // Calls that a target refused without running them.
	broken       bool // The connection of a call broke after the request was sent.
	lastAttempt  time.Time
	budgetEarned bool // The request has added to the group's budget of extra sends.

	estimate        targets.Estimate // At the arrival of the request.
	expectedLatency time.Duration    // Of a slow shard, from estimate; otherwise 0.
	deferred        bool             // The part is sent only if there are too few other parts.

	answer  *targets.Call // The successful call.
	failure *targets.Call // The last call with a complete answer that reports a failure.
	relayed *targets.Call // The call whose answer the caller gets unchanged.
}

// maxRefused limits the refused calls of a part. The part is sent to another
// target only while at most maxRefused of its calls were refused.
const maxRefused = 2

// attempt submits a call of the part and reports whether it was accepted. A
// hedge runs in parallel with an earlier call. A request that may run once goes to
// each target once: a late second copy of a refusal, on any connection, could not
// be told from the answer to another send, and the request may run then.
func (r *run) attempt(p *part, tag int, now time.Time, hedge bool) bool {
	if r.clock.Boot() >= r.request.Deadline() {
		r.end = now // The VM was paused and the caller's deadline has passed.
		return false
	}
	if !now.Before(r.end) {
		return false // The answer could not be waited for, and the request could not be refused as not run.
	}
	if p.mayRun >= r.maxTargets() || p.refused > maxRefused {
		return false
	}
	purpose := targets.First
	switch {
	case hedge:
		purpose = targets.Hedge
	case p.mayRun+p.refused > 0:
		purpose = targets.Retry
	case p.budgetEarned:
		purpose = targets.Resend
	}
	p.budgetEarned = true
	avoid := p.written()
	if n := len(p.calls); n > 0 && p.mayRun == 0 && r.route.Idempotent() {
		avoid = p.calls[n-1:] // A target that refused earlier may accept by now.
		if p.calls[n-1].Outcome() == targets.NotSent {
			avoid = nil
		}
	}
	opts := []targets.CallOption{
		targets.Tag(tag), targets.OfRoute(r.route.Name()), targets.Priority(r.priority()), targets.Follows(p.calls...), targets.AvoidTargetsOf(avoid...), targets.WithPurpose(purpose), targets.ObservedBy(r.observer),
		targets.Allow(func(e targets.Entry) bool { return r.allow(r.route, e) }),
	}
	if r.kind != nil {
		opts = append(opts, targets.OfKind(r.kind))
		if purpose == targets.First || purpose == targets.Resend {
			opts = append(opts, targets.OfferBy(r.queueBy(now)))
		}
	}
	if r.trial {
		opts = append(opts, targets.OnTrial())
	}
	c := targets.NewCall(r.request, r.stats.latency, r.results, opts...)
	p.lastAttempt = now
	if len(p.calls) >= maxSends || !p.group.Submit(c) {
		return false
	}
	p.calls = append(p.calls, c)
	p.pending++
	p.mayRun++
	r.sends++
	switch purpose {
	case targets.Retry:
		r.recordDecision("retried", p.service, "", "the previous call failed")
	case targets.Hedge:
		r.recordDecision("hedged", p.service, "", "no answer for "+r.hedgeDelay(p).Round(time.Millisecond).String())
	case targets.First, targets.Resend:
	}
	return true
}

// maxTargets returns the maximum number of targets of a service on which the
// request may run. A request on trial may run on one.
func (r *run) maxTargets() int {
	if r.solo {
		return 1
	}
	return r.route.MaxTargets()
}

// hedgePart sends the part to a second target if its only pending call was sent
// and has been unanswered for the hedge delay.
func (r *run) hedgePart(p *part, tag int, now time.Time) {
	if p.pending != 1 || now.Before(p.lastAttempt.Add(r.hedgeDelay(p))) {
		return
	}
	if _, _, sent := p.group.Assignment(p.calls[len(p.calls)-1]); sent && r.attempt(p, tag, now, true) {
		meter.Count("query.hedged", 1)
	}
}

// hedgeDelay returns the time after which a pending part is sent to a second
// target. It is longer for a slow shard, whose other targets are no faster.
func (r *run) hedgeDelay(p *part) time.Duration {
	return max(r.hedgeAfter, time.Duration(slowPartHedgeFactor*float64(p.expectedLatency)))
}

// nextHedge returns when a hedge may be due.
func (r *run) nextHedge(p *part, now time.Time) time.Time {
	if t := p.lastAttempt.Add(r.hedgeDelay(p)); t.After(now) {
		return t
	}
	return now.Add(recheckInterval) // The budget is spent, or the call is still queued.
}

// written returns the calls of which a byte may have been written. A request that
// may run once is not sent to their targets again.
func (p *part) written() []*targets.Call {
	if p.pending > 0 {
		return p.calls // The outcomes of pending calls are not known.
	}
	return slices.DeleteFunc(slices.Clone(p.calls), func(c *targets.Call) bool { return c.Outcome() == targets.NotSent })
}

// recordResult updates the part with the result of a call.
func (p *part) recordResult(c *targets.Call) {
	p.pending--
	switch o := c.Outcome(); {
	case o == targets.Answered:
		if p.answer == nil {
			p.answer = c
		}
	case o == targets.Failed:
		p.failure = c
	case o == targets.Broken:
		p.broken = true
	case o == targets.NotSent:
		p.mayRun--
	case !o.MayHaveRun():
		p.mayRun--
		p.refused++
	}
}

// withdraw ends the calls of which no byte was written and reports whether
// certainly no target has run or will run the part.
func (p *part) withdraw() bool {
	unrun := true
	for _, c := range p.calls {
		u, withdrawn := p.group.Withdraw(c)
		unrun = unrun && u
		if withdrawn {
			p.pending--
			p.mayRun--
		}
	}
	return unrun
}

// abandon releases all calls of a part except kept.
func (p *part) abandon(kept *targets.Call, callerLeft bool) {
	for _, c := range p.calls {
		if c != kept {
			p.group.Abandon(c, callerLeft)
		}
	}
}
