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

// attempt sends the part to another target. Extra is false for the first send.
func (r *run) attempt(p *part, tag int, now time.Time) bool {
	extra := len(p.calls) > 0
	if p.mayRun >= r.route.MaxTargets() || p.refused > maxRefused {
		return false
	}
	avoid := p.calls
	if n := len(p.calls); n > 0 && p.refused == n {
		avoid = p.calls[n-1:] // A target that refused earlier may have room by now.
	}
	c := target.NewCall(r.send, r.habit.pace, r.results,
		target.Tag(tag), target.Rank(r.route.Priority()), target.After(avoid...),
		target.Allow(func(e target.Entry) bool { return r.allow(r.route, e) }))
	p.tried = now
	if !p.group.Submit(c, extra) {
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
