package entry

import (
	"context"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// take checks the results of one call and resends what proves not run.
func (f *fanout) take(ctx context.Context, r reply) {
	f.waiting--
	r.batch.answered = true
	if r.err != nil {
		f.takeError(ctx, r)
		return
	}
	if !r.batch.home.Self() {
		f.s.e.reach.answered(r.batch.home)
	}
	var again []int
	for k, i := range r.batch.lanes {
		l := &f.p.lanes[i]
		l.pending--
		res, n := find(r.results, r.batch.requests[k])
		if n == 0 {
			l.fail(refusal.BadReply, refusal.Unknown, "reply lacks the shard")
			f.rejected(refusal.BadReply)
			continue
		}
		if n > 1 {
			meter.Count("entry.result.duplicate", int64(n-1))
		}
		if f.accept(l, res) {
			again = append(again, i)
		}
	}
	if extra := len(r.results) - len(r.batch.lanes); extra > 0 {
		meter.Count("entry.result.unasked", int64(extra))
	}
	if len(again) > 0 && !r.batch.given {
		f.send(ctx, again)
	}
}

// accept merges a result into its lane. It reports whether the lane should be
// sent to the next daemon because this one did not serve it.
func (f *fanout) accept(l *lane, r *shard.Result) (again bool) {
	if len(r.AvailableSnapshots()) > 0 {
		f.s.e.table.learn(l.group, r.AvailableSnapshots())
	}
	if l.merged {
		meter.Count("entry.result.late", 1)
		return false
	}
	if !l.known {
		// The group may have announced the target since the plan was made.
		l.label, l.known = announcement(f.s.e.table.of(l.group), f.p.target)
	}
	kind, detail := l.check(f.p.target, *r)
	switch kind {
	case refusal.None:
		l.merged, l.result, l.reason = true, r, refusal.None
		if !l.known {
			l.label, l.known = r.Label(), true
		}
		if len(r.AvailableSnapshots()) == 0 {
			f.s.e.table.confirm(l.group, r.Label())
		}
		return false
	case refusal.SnapshotGone:
		f.stale = true
	case refusal.NotHome, refusal.ShuttingDown, refusal.HomeUnreachable:
		again = r.Ran() == refusal.NotRun && l.pending == 0
		if again {
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
	l.fail(kind, ran, detail)
	f.rejected(kind)
	return again
}

func (f *fanout) rejected(kind refusal.Kind) {
	meter.Count("entry.result.rejected."+string(kind), 1)
}

// takeError handles a call without an answer. A call that was never written is
// sent on freely, any other within the budget.
func (f *fanout) takeError(ctx context.Context, r reply) {
	e := refusal.Of(r.err)
	if ctx.Err() == nil {
		f.s.e.reach.failed(r.batch.home)
	}
	var open []int
	for _, i := range r.batch.lanes {
		l := &f.p.lanes[i]
		l.pending--
		l.fail(e.Kind(), e.Ran(), e.Detail())
		if !l.merged && l.pending == 0 {
			open = append(open, i)
		}
	}
	switch {
	case len(open) == 0, r.batch.given, ctx.Err() != nil:
		return
	case e.Ran() != refusal.NotRun && !f.s.e.budget.spend(f.s.service.Name(), len(open)):
		return
	}
	meter.Retried("entry", e.Kind())
	f.send(ctx, open)
}

// find returns the result that belongs to the request and how many claim to.
func find(results []shard.Result, q shard.Request) (*shard.Result, int) {
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

// restartNow reports whether another target is announced by every shard, so
// that waiting for the rest of this fan-out is useless.
func (f *fanout) restartNow() bool {
	p, ok := choose(f.s.layout, f.s.e.table, f.s.q.id, f.s.tried)
	if !ok || !p.complete() {
		return false
	}
	for i := range f.p.lanes {
		if l := &f.p.lanes[i]; l.pending > 0 && !l.merged {
			l.ran = refusal.Unknown
			if l.reason == refusal.None {
				l.reason = refusal.SnapshotGone
			}
		}
	}
	return true
}
