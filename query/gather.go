package query

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/targets"
)

const (
	// maxSends bounds the calls of one part, including those that targets
	// refuse, and thereby the buffer that its results need.
	maxSends = 8
	// recheckInterval is the delay before a shard without an available target
	// is tried again.
	recheckInterval = 25 * time.Millisecond
)

// gather sends the request to all shards and merges the parts.
func (r *run) gather(ctx context.Context) Answer {
	names := r.route.Shards()
	parts := make([]*part, len(names))
	now := r.clock.Now()
	untilObjective := max(r.objective.Sub(now), 0)
	available := 0
	for i, name := range names {
		parts[i] = &part{service: name, group: r.group(name)}
		if parts[i].group == nil {
			continue
		}
		parts[i].estimate = parts[i].group.EstimateKind(r.stats.latency, r.kind, untilObjective, r.estimateFor())
		if parts[i].estimate.SendsInTime() {
			available++
		}
	}
	needed := r.route.MinShards()
	if available < needed {
		return refuse(refusal.NoSearcher, r.retryAfterLimits(parts, needed-available, now), "targets of %d of %d shards accept requests, %d are needed", available, len(names), needed)
	}
	r.results = make(chan *targets.Call, len(names)*maxSends)
	r.deferSlowParts(parts, needed, now)
	deferLimitedParts(parts)
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
		r.sendDeferred(parts, needed, now)
		switch r.decide(now, countParts(parts, needed)) {
		case answer:
			callerLeft = false
			r.recordUnanswered(parts)
			return r.merge(parts)
		case fail:
			callerLeft = false
			r.recordUnanswered(parts)
			return r.insufficientParts(parts, now)
		case wait:
		}
		select {
		case c := <-r.results:
			r.handleResult(parts, c)
			r.handleReadyResults(parts)
		case <-timer.C():
			r.handleReadyResults(parts)
			now = r.clock.Now()
			if r.mustRefuse(now, parts...) {
				callerLeft = false
				return r.notOffered(now, parts...)
			}
			r.hedge(parts, now)
			timer.Reset(max(r.nextCheck(parts, now).Sub(now), time.Millisecond))
		case <-ctx.Done():
			if endedByShutdown(ctx) {
				r.end = r.clock.Now()
				r.handleReadyResults(parts)
				callerLeft = false
				r.recordUnanswered(parts)
				return r.answerAtShutdown(parts, needed)
			}
			return refuse(refusal.Cancelled, 0, "caller left after %v", r.clock.Now().Sub(r.started))
		}
	}
}

// handleReadyResults handles the results that are already available, so that
// one decision covers all of them.
func (r *run) handleReadyResults(parts []*part) {
	for {
		select {
		case c := <-r.results:
			r.handleResult(parts, c)
		default:
			return
		}
	}
}

// handleResult records the result of a call and tries another target after a
// failure.
func (r *run) handleResult(parts []*part, c *targets.Call) {
	p := parts[c.Tag()]
	p.recordResult(c)
	r.recordFailure(p, c)
	r.broken = r.broken || p.broken
	if r.solo {
		r.handleSuspectResult(parts, p)
		return
	}
	if p.answer != nil || p.pending > 0 {
		return
	}
	if c.Outcome() == targets.NotSent && c.TargetID() == "" {
		return // The next check tries again; a target may accept connections by then.
	}
	if r.attempt(p, c.Tag(), r.clock.Now(), false) {
		meter.Count("query.retried."+string(c.Outcome()), 1)
	}
}

// sendAll sends all parts that were not sent yet and are not deferred. A request on
// trial is sent to one shard first, and to the others once that shard has answered.
func (r *run) sendAll(parts []*part, now time.Time) {
	for i, p := range parts {
		if p.group == nil || p.deferred || len(p.calls) > 0 {
			continue
		}
		if r.attempt(p, i, now, false) && r.solo {
			return
		}
	}
}

// handleSuspectResult sends the other parts of a request on trial after a successful
// answer. Without a successful answer it ends the request.
func (r *run) handleSuspectResult(parts []*part, p *part) {
	now := r.clock.Now()
	if p.answer == nil {
		r.end = now
		return
	}
	r.solo = false
	r.sendAll(parts, now)
}

// hedge sends a part to a second target if the first one has not answered
// within the hedge delay, and retries parts without a pending call.
func (r *run) hedge(parts []*part, now time.Time) {
	for i, p := range parts {
		if p.answer != nil || p.group == nil || p.deferred {
			continue
		}
		if p.pending == 0 {
			if !r.solo && now.Sub(p.lastAttempt) >= recheckInterval {
				r.attempt(p, i, now, false)
			}
			continue
		}
		r.hedgePart(p, i, now)
	}
}

// nextCheck returns when to check the parts again.
func (r *run) nextCheck(parts []*part, now time.Time) time.Time {
	next := r.offerDeadline(r.nextDecision(now), parts...)
	for _, p := range parts {
		if p.answer != nil || p.group == nil || p.deferred {
			continue
		}
		var t time.Time
		switch {
		case p.pending == 0:
			t = now.Add(recheckInterval)
		case p.pending == 1 && p.mayRun < r.maxTargets():
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

func countParts(parts []*part, needed int) progress {
	p := progress{shards: len(parts), needed: needed}
	for _, part := range parts {
		switch {
		case part.answer != nil:
			p.parts++
		case part.pending > 0:
			p.pending++
		}
	}
	return p
}

// merge returns the answer merged from the parts received.
func (r *run) merge(parts []*part) Answer {
	r.recordAnswer(parts...)
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

// answerAtShutdown returns the answer to a request that is unfinished when the
// daemon ends.
func (r *run) answerAtShutdown(parts []*part, needed int) Answer {
	p := countParts(parts, needed)
	switch {
	case p.parts >= needed:
		return r.merge(parts)
	case noneRan(parts):
		return refuse(refusal.ShuttingDown, ShutdownRetryAfter, "daemon ended before a part was run")
	}
	return refuse(refusal.Deadline, 0, "got %d of %d parts before the daemon ended, %d are needed", p.parts, p.shards, needed)
}

// insufficientParts returns a refusal that explains why there are too few
// parts.
func (r *run) insufficientParts(parts []*part, now time.Time) Answer {
	p := countParts(parts, r.route.MinShards())
	late, unrun := !now.Before(r.end), noneRan(parts)
	switch {
	case late && unrun:
		return refuse(refusal.Overloaded, r.retryAfter(now), "no target of %d shards had capacity in time", p.shards)
	case late:
		return refuse(refusal.Deadline, 0, "got %d of %d parts before the deadline, %d are needed", p.parts, p.shards, p.needed)
	case unrun:
		return refuse(refusal.Overloaded, r.retryAfter(now), "targets of too many shards refused the request, %d of %d are needed", p.needed, p.shards)
	}
	return refuse(refusal.SearcherFailed, 0, "got %d of %d parts, %d are needed and no target is left to try", p.parts, p.shards, p.needed)
}

// noneRan reports whether certainly no target has run or will run any part. It
// ends the calls of which no byte was written.
func noneRan(parts []*part) bool {
	for _, p := range parts {
		if !p.withdraw() {
			return false
		}
	}
	return true
}
