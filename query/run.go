package query

import (
	"time"

	"medlaryard.example/medlaryard/route"
	"medlaryard.example/medlaryard/target"
)

// run is one request while it is served.
type run struct {
	*Engine
	schedule

	route   *route.Route
	send    *target.Request
	habit   *habit
	started time.Time
	results chan *target.Call
	sends   int
	missing []string // Shards without a part, for the log.
}

// part is the work on one shard, or on the one service of a route.
type part struct {
	service string
	group   *target.Group
	calls   []*target.Call
	open    int // Calls without a result.
	mayRun  int // Calls that may have run or may still run.
	refused int // Calls that a target refused without running them.
	tried   time.Time
	answer  *target.Call // The success.
	failure *target.Call // The last complete answer that reports a failure.
}

// maxRefused bounds the sends of one part that targets refuse.
const maxRefused = 2

// attempt sends the part to another target. A hedge runs beside an earlier call.
func (r *run) attempt(p *part, tag int, now time.Time, hedge bool) bool {
	if p.mayRun >= r.route.MaxTargets() || p.refused > maxRefused {
		return false
	}
	purpose := target.First
	switch {
	case hedge:
		purpose = target.Hedge
	case p.mayRun+p.refused > 0:
		purpose = target.Retry
	}
	avoid := p.calls
	if n := len(p.calls); n > 0 && p.mayRun == 0 {
		avoid = p.calls[n-1:] // A target that refused earlier may have room by now.
		if p.calls[n-1].Outcome() == target.NotSent {
			avoid = nil
		}
	}
	c := target.NewCall(r.send, r.habit.pace, r.results,
		target.Tag(tag), target.Rank(r.route.Priority()), target.After(avoid...), target.For(purpose),
		target.Allow(func(e target.Entry) bool { return r.allow(r.route, e) }))
	p.tried = now
	if len(p.calls) >= maxSends || !p.group.Submit(c) {
		return false
	}
	p.calls = append(p.calls, c)
	p.open++
	p.mayRun++
	r.sends++
	return true
}

// take accounts for the result of a call.
func (p *part) take(c *target.Call) {
	p.open--
	switch o := c.Outcome(); {
	case o == target.Answered:
		if p.answer == nil {
			p.answer = c
		}
	case o == target.Failed:
		p.failure = c
	case o == target.NotSent:
		p.mayRun--
	case !o.MayHaveRun():
		p.mayRun--
		p.refused++
	}
}

// abandon releases all calls of a part but the one kept.
func (p *part) abandon(kept *target.Call, callerLeft bool) {
	for _, c := range p.calls {
		if c != kept {
			p.group.Abandon(c, callerLeft)
		}
	}
}
