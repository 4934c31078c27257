package query

import (
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/route"
	"medlaryard.example/medlaryard/targets"
)

// run is one request while it is served.
type run struct {
	*Engine
	schedule

	route   *route.Route
	send    *targets.Request
	habit   *habit
	started time.Time
	results chan *targets.Call
	sends   int
	suspect int      // Crashes that equal requests are held responsible for.
	missing []string // Shards without a part, for the log.
	story   []decision
}

// part is the work on one shard, or on the one service of a route.
type part struct {
	service string
	group   *targets.Group
	calls   []*targets.Call
	open    int // Calls without a result.
	mayRun  int // Calls that may have run or may still run.
	refused int // Calls that a target refused without running them.
	tried   time.Time
	counted bool // The group has earned budget by the request.

	outlook  targets.Estimate // At the arrival of the request.
	expected time.Duration    // When an answer was to be expected at the arrival of the request.
	deferred bool             // It is sent only if other parts do not suffice.

	answer  *targets.Call // The success.
	failure *targets.Call // The last complete answer that reports a failure.
}

// maxRefused bounds the sends of one part that targets refuse.
const maxRefused = 2

// attempt sends the part to another target. A hedge runs beside an earlier call.
func (r *run) attempt(p *part, tag int, now time.Time, hedge bool) bool {
	if r.clock.Boot() >= r.send.Deadline() {
		r.end = now // The VM was paused; the caller has given up meanwhile.
		return false
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
	case p.counted:
		purpose = targets.Resend
	}
	p.counted = true
	avoid := p.calls
	if n := len(p.calls); n > 0 && p.mayRun == 0 {
		avoid = p.calls[n-1:] // A target that refused earlier may have room by now.
		if p.calls[n-1].Outcome() == targets.NotSent {
			avoid = nil
		}
	}
	c := targets.NewCall(r.send, r.habit.pace, r.results,
		targets.Tag(tag), targets.Priority(r.route.Priority()), targets.AvoidTargetsOf(avoid...), targets.WithPurpose(purpose),
		targets.Allow(func(e targets.Entry) bool { return r.allow(r.route, e) }))
	p.tried = now
	if len(p.calls) >= maxSends || !p.group.Submit(c) {
		return false
	}
	p.calls = append(p.calls, c)
	p.open++
	p.mayRun++
	r.sends++
	switch purpose {
	case targets.Retry:
		r.note("retried", p.service, "", "the call before failed")
	case targets.Hedge:
		r.note("hedged", p.service, "", "no answer for "+r.patienceWith(p).Round(time.Millisecond).String())
	case targets.First, targets.Resend:
	}
	return true
}

// maxTargets is on how many targets of a service the request may run. A suspect
// runs on one.
func (r *run) maxTargets() int {
	if r.suspect > 0 {
		return 1
	}
	return r.route.MaxTargets()
}

// hedgePart sends the part to a second target beside a call that was sent and has
// not been answered for long.
func (r *run) hedgePart(p *part, tag int, now time.Time) {
	if p.open != 1 || now.Before(p.tried.Add(r.patienceWith(p))) {
		return
	}
	if _, _, sent := p.group.Assignment(p.calls[len(p.calls)-1]); sent && r.attempt(p, tag, now, true) {
		meter.Count("query.hedged", 1)
	}
}

// patienceWith returns how long a part may take before a second target is asked.
// Where all targets were known to be slow another one is no faster.
func (r *run) patienceWith(p *part) time.Duration {
	return max(r.hedgeAfter, time.Duration(strainedPatience*float64(p.expected)))
}

// nextHedge returns when a hedge may be due.
func (r *run) nextHedge(p *part, now time.Time) time.Time {
	if t := p.tried.Add(r.patienceWith(p)); t.After(now) {
		return t
	}
	return now.Add(recheck) // The budget was spent, or the call waits.
}

// take accounts for the result of a call.
func (p *part) take(c *targets.Call) {
	p.open--
	switch o := c.Outcome(); {
	case o == targets.Answered:
		if p.answer == nil {
			p.answer = c
		}
	case o == targets.Failed:
		p.failure = c
	case o == targets.NotSent:
		p.mayRun--
	case !o.MayHaveRun():
		p.mayRun--
		p.refused++
	}
}

// abandon releases all calls of a part but the one kept.
func (p *part) abandon(kept *targets.Call, callerLeft bool) {
	for _, c := range p.calls {
		if c != kept {
			p.group.Abandon(c, callerLeft)
		}
	}
}
