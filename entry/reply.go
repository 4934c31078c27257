package entry

import (
	"context"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// handleReply processes the results of one call and resends the subqueries that
// provably did not run.
func (f *fanout) handleReply(ctx context.Context, r reply) {
	f.pendingCalls--
	r.batch.answered = true
	if r.err != nil {
		f.handleError(ctx, r)
		return
	}
	if !r.batch.home.Self() {
		f.s.e.reachability.recordSuccess(r.batch.home)
	}
	var resend []int
	for k, i := range r.batch.subqueries {
		sq := &f.p.subqueries[i]
		sq.pending--
		res, n := findResult(r.results, r.batch.requests[k])
		if n == 0 {
			sq.fail(refusal.BadReply, refusal.Unknown, "reply has no result for the shard")
			f.countRejected(refusal.BadReply)
			continue
		}
		if n > 1 {
			meter.Count("entry.result.duplicate", int64(n-1))
		}
		if f.handleResult(sq, res) {
			resend = append(resend, i)
		}
	}
	if extra := len(r.results) - len(r.batch.subqueries); extra > 0 {
		meter.Count("entry.result.unasked", int64(extra))
	}
	if len(resend) > 0 && !r.batch.reassigned {
		f.send(ctx, resend)
	}
}

// handleResult stores a result in its subquery, as accepted or as failed. It
// reports whether to send the subquery to the next daemon because this one did
// not run it.
func (f *fanout) handleResult(sq *subquery, r *shard.Result) (resend bool) {
	if len(r.AvailableSnapshots()) > 0 {
		f.s.e.labels.update(sq.group, r.AvailableSnapshots())
	}
	if sq.accepted {
		meter.Count("entry.result.late", 1)
		return false
	}
	if !sq.labelKnown {
		// The group may have announced the version since the plan was made.
		sq.label, sq.labelKnown = findLabel(f.s.e.labels.get(sq.group), f.p.version)
	}
	kind, detail := sq.check(f.p.version, *r)
	switch kind {
	case refusal.None:
		sq.accepted, sq.result, sq.reason = true, r, refusal.None
		if !sq.labelKnown {
			sq.label, sq.labelKnown = r.Label(), true
		}
		if len(r.AvailableSnapshots()) == 0 {
			f.s.e.labels.confirm(sq.group, r.Label())
		}
		return false
	case refusal.SnapshotGone:
		f.stale = true
	case refusal.NotHome, refusal.ShuttingDown, refusal.HomeUnreachable:
		resend = r.Ran() == refusal.NotRun && sq.pending == 0
		if resend {
			meter.Retried("entry", kind)
		}
	}
	ran := r.Ran()
	if r.Kind() == refusal.None {
		ran = refusal.DidRun
	}
	if ran == "" {
		ran = refusal.Unknown
	}
	if r.Crashed() {
		f.crashed = true
	}
	sq.fail(kind, ran, detail)
	f.countRejected(kind)
	return resend
}

func (f *fanout) countRejected(kind refusal.Kind) {
	meter.Count("entry.result.rejected."+string(kind), 1)
}

// handleError handles a call without an answer and sends its subqueries to the
// next daemon. If the call may have run, this takes tokens from the budget.
func (f *fanout) handleError(ctx context.Context, r reply) {
	e := refusal.FromError(r.err)
	if ctx.Err() == nil {
		f.s.e.reachability.recordFailure(r.batch.home)
	}
	var unanswered []int
	for _, i := range r.batch.subqueries {
		sq := &f.p.subqueries[i]
		sq.pending--
		sq.fail(e.Kind(), e.Ran(), e.Detail())
		if !sq.accepted && sq.pending == 0 {
			unanswered = append(unanswered, i)
		}
	}
	switch {
	case len(unanswered) == 0, r.batch.reassigned, ctx.Err() != nil:
		return
	case e.Ran() != refusal.NotRun && !f.s.e.budget.spend(f.s.service.Name(), len(unanswered)):
		return
	}
	meter.Retried("entry", e.Kind())
	f.send(ctx, unanswered)
}

// findResult returns the first result for the request and the number of such
// results.
func findResult(results []shard.Result, q shard.Request) (*shard.Result, int) {
	var found *shard.Result
	n := 0
	for i := range results {
		r := &results[i]
		if r.Group() == q.Group() && r.Shard() == q.Shard() {
			if n == 0 {
				found = r
			}
			n++
		}
	}
	return found, n
}

// restartNow reports whether every shard has announced another index version, so
// that there is no point in waiting for the rest of this fan-out. If so, it marks
// the pending subqueries as possibly run.
func (f *fanout) restartNow() bool {
	p, ok := choosePlan(f.s.layout, f.s.e.labels, f.s.q.id, f.s.triedVersions)
	if !ok || !p.complete() {
		return false
	}
	for i := range f.p.subqueries {
		if sq := &f.p.subqueries[i]; sq.pending > 0 && !sq.accepted {
			sq.ran = refusal.Unknown
			if sq.reason == refusal.None {
				sq.reason = refusal.SnapshotGone
			}
		}
	}
	return true
}
