package query

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/targets"
)

const (
	// maxSends bounds the results that one part can produce: the sends that may
	// run and those that targets refuse.
	maxSends = 8
	// recheck is how often a shard without a target is tried again.
	recheck = 25 * time.Millisecond
)

// gather sends the request to all shards and merges the parts.
func (r *run) gather(ctx context.Context) Answer {
	names := r.route.Shards()
	parts := make([]*part, len(names))
	now := r.clock.Now()
	soon := max(r.objective.Sub(now), 0)
	open := 0
	for i, name := range names {
		parts[i] = &part{service: name, group: r.group(name)}
		if parts[i].group == nil {
			continue
		}
		parts[i].outlook = parts[i].group.Estimate(r.habit.pace, soon)
		if parts[i].outlook.SendsInTime() {
			open++
		}
	}
	needed := r.route.MinShards()
	if open < needed {
		return refuse(refusal.NoSearcher, r.comeBack(now), "targets of %d of %d shards take requests, %d are needed", open, len(names), needed)
	}
	r.results = make(chan *targets.Call, len(names)*maxSends)
	r.strain(parts, needed, now)
	r.sendAll(parts, now)
	callerLeft := true
	defer func() {
		for _, p := range parts {
			p.abandon(nil, callerLeft)
		}
	}()
	timer := r.clock.NewTimer(r.nextCheck(parts, now).Sub(now))
	defer timer.Stop()
	for {
		now = r.clock.Now()
		r.release(parts, needed, now)
		switch r.judge(now, count(parts, needed)) {
		case answer:
			callerLeft = false
			r.noteSilent(parts)
			return r.merge(parts)
		case fail:
			callerLeft = false
			r.noteSilent(parts)
			return r.unanswered(parts, now)
		case wait:
		}
		select {
		case c := <-r.results:
			r.take(parts, c)
			r.drain(parts)
		case <-timer.C():
			now = r.clock.Now()
			r.hedge(parts, now)
			timer.Reset(max(r.nextCheck(parts, now).Sub(now), time.Millisecond))
		case <-ctx.Done():
			return refuse(refusal.Cancelled, 0, "caller left after %v", r.clock.Now().Sub(r.started))
		}
	}
}

// drain takes in the results that are there already, so that the answer is
// judged once for all of them.
func (r *run) drain(parts []*part) {
	for {
		select {
		case c := <-r.results:
			r.take(parts, c)
		default:
			return
		}
	}
}

// take accounts for a result and tries another target after a failure.
func (r *run) take(parts []*part, c *targets.Call) {
	p := parts[c.Tag()]
	p.take(c)
	r.noteResult(p, c)
	if r.suspect > 0 {
		r.takeSuspect(parts, p)
		return
	}
	if p.answer != nil || p.open > 0 {
		return
	}
	if c.Outcome() == targets.NotSent {
		return // The next check tries again, when a target may accept connections.
	}
	if r.attempt(p, c.Tag(), r.clock.Now(), false) {
		meter.Count("query.retried."+string(c.Outcome()), 1)
	}
}

// sendAll sends all parts that were not sent yet. A suspect goes to one shard
// first; the others follow once that has answered.
func (r *run) sendAll(parts []*part, now time.Time) {
	for i, p := range parts {
		if p.group == nil || p.deferred || len(p.calls) > 0 {
			continue
		}
		if r.attempt(p, i, now, false) && r.suspect > 0 {
			return
		}
	}
}

// takeSuspect clears a suspect that a target has answered and sends its other
// parts. One that was not answered is given up.
func (r *run) takeSuspect(parts []*part, p *part) {
	now := r.clock.Now()
	if p.answer == nil {
		r.end = now
		return
	}
	r.suspect = 0
	r.crash.Clear(r.send.Fingerprint())
	r.sendAll(parts, now)
}

// hedge sends parts whose target is silent for too long to another target, and
// parts without any target once more.
func (r *run) hedge(parts []*part, now time.Time) {
	for i, p := range parts {
		if p.answer != nil || p.group == nil || p.deferred {
			continue
		}
		if p.open == 0 {
			if r.suspect == 0 && now.Sub(p.tried) >= recheck {
				r.attempt(p, i, now, false)
			}
			continue
		}
		r.hedgePart(p, i, now)
	}
}

// nextCheck returns when to look at the parts again.
func (r *run) nextCheck(parts []*part, now time.Time) time.Time {
	next := r.next(now)
	for _, p := range parts {
		if p.answer != nil || p.group == nil || p.deferred {
			continue
		}
		var t time.Time
		switch {
		case p.open == 0:
			t = now.Add(recheck)
		case p.open == 1 && p.mayRun < r.maxTargets():
			t = r.nextHedge(p, now)
		default:
			continue
		}
		if t.Before(next) {
			next = t
		}
	}
	return next
}

func count(parts []*part, needed int) progress {
	p := progress{shards: len(parts), needed: needed}
	for _, part := range parts {
		switch {
		case part.answer != nil:
			p.parts++
		case part.open > 0:
			p.pending++
		}
	}
	return p
}

// merge makes the answer from the parts that are in.
func (r *run) merge(parts []*part) Answer {
	m := &Merged{}
	bodies := make([][]byte, 0, len(parts))
	for _, p := range parts {
		if p.answer == nil {
			m.missing++
			r.missing = append(r.missing, p.service)
			if p.deferred {
				meter.Count("query.deferred", 1)
			}
			continue
		}
		resp := p.answer.Response()
		m.stamps = append(m.stamps, r.stamp(resp))
		bodies = append(bodies, resp.Body())
	}
	m.records = topRecords(bodies, r.route.TopRecords())
	return Answer{merged: m}
}

// unanswered explains why there are too few parts.
func (r *run) unanswered(parts []*part, now time.Time) Answer {
	p := count(parts, r.route.MinShards())
	if now.Before(r.end) {
		return refuse(refusal.SearcherFailed, 0, "%d of %d parts, %d are needed and no target is left", p.parts, p.shards, p.needed)
	}
	return refuse(refusal.Deadline, 0, "%d of %d parts in time, %d are needed", p.parts, p.shards, p.needed)
}
