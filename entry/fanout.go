package entry

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// reply is the result of one call.
type reply struct {
	batch   *batch
	results []shard.Result
	err     error
}

// fanout sends the subqueries of one plan and collects the results. Only the
// goroutine that executes run changes it.
type fanout struct {
	s            *search
	p            *plan
	replies      chan reply
	batches      []*batch
	pendingCalls int // Calls that have not returned.
	// stale is set when a shard no longer holds the plan's index version.
	stale bool
	// retryTimer fires when the subqueries with a scheduled retry are due. It
	// is set by scheduleRetry.
	retryTimer clock.Timer
	// ran states whether earlier fan-outs of the query ran anywhere.
	ran refusal.Ran
	// crashed is set when a searcher crashed while it ran the query.
	crashed bool
}

func newFanout(s *search, p *plan) *fanout {
	return &fanout{s: s, p: p, replies: make(chan reply), ran: refusal.NotRun}
}

// run sends all subqueries. It returns when all of them are done, a restart is
// due or ctx ends. A suspect query goes to one shard first.
func (f *fanout) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all := make([]int, len(f.p.subqueries))
	for i := range all {
		all[i] = i
	}
	if f.s.suspect {
		// If the query crashes the searcher of this shard, the other shards are
		// skipped.
		first := int(f.s.fingerprint % uint64(len(all)))
		f.sendAndWait(ctx, []int{first})
		if f.crashed || !f.p.subqueries[first].accepted {
			f.skipRest()
			return
		}
		all = append(all[:first], all[first+1:]...)
	}
	f.sendAndWait(ctx, all)
}

// sendAndWait sends the given subqueries. It returns when all of them are done, a
// restart is due or ctx ends.
func (f *fanout) sendAndWait(ctx context.Context, indexes []int) {
	now := f.s.e.clk.Boot()
	f.s.e.budget.earn(f.s.service.Name(), f.s.service.ExtraBudget(), len(indexes), len(f.p.subqueries))
	f.send(ctx, indexes)
	silenceLimit := min(maxSilence, fractionOf(f.s.deadline-now, silenceFraction))
	silenceTimer := f.s.e.clk.NewTimer(silenceLimit)
	defer silenceTimer.Stop()
	f.retryTimer = f.s.e.clk.NewTimer(time.Hour)
	defer f.retryTimer.Stop()
	for !f.allDone(indexes) {
		select {
		case r := <-f.replies:
			f.handleReply(ctx, r)
			if f.stale && f.restartNow() {
				return
			}
		case <-silenceTimer.C():
			silenceTimer.Reset(f.reassignSilent(ctx, silenceLimit))
		case <-f.retryTimer.C():
			f.sendRetries(ctx)
		case <-ctx.Done():
			f.expire(ctx, indexes)
			return
		}
	}
}

func (f *fanout) allDone(indexes []int) bool {
	for _, i := range indexes {
		if !f.p.subqueries[i].done() {
			return false
		}
	}
	return true
}

// send sends each subquery to the next daemon that may serve it, with one call
// per daemon. If no daemon is left, it schedules a retry.
func (f *fanout) send(ctx context.Context, indexes []int) {
	var batches []*batch
	id := f.s.e.sendID(f.s.q.id)
	for _, i := range indexes {
		sq := &f.p.subqueries[i]
		h, acting, ok := f.s.e.pickHome(sq.group, sq.tried)
		if !ok {
			f.scheduleRetry(sq)
			continue
		}
		if sq.tried == nil {
			sq.tried = sq.triedBuf[:0]
		}
		sq.tried = append(sq.tried, h.Name())
		sq.pending++
		batches = addToBatch(batches, h, i, f.request(id, sq, acting))
	}
	for _, b := range batches {
		b.sentAt = f.s.e.clk.Boot()
		f.batches = append(f.batches, b)
		f.pendingCalls++
		go f.call(ctx, b)
	}
}

// addToBatch adds a request to the batch of its daemon. Each request to this
// daemon itself gets a batch of its own, so that one slow shard does not delay
// the results of the others.
func addToBatch(batches []*batch, h Home, index int, r shard.Request) []*batch {
	if !h.Self() {
		for _, b := range batches {
			if b.home.Name() == h.Name() && b.requests[0].Acting() == r.Acting() {
				b.subqueries, b.requests = append(b.subqueries, index), append(b.requests, r)
				return batches
			}
		}
	}
	return append(batches, &batch{home: h, subqueries: []int{index}, requests: []shard.Request{r}})
}

func (f *fanout) request(id string, sq *subquery, acting bool) shard.Request {
	s := f.s
	return shard.NewRequest(shard.RequestSpec{
		ID: id, Owner: s.q.owner, Class: s.q.class, Service: s.q.service, Route: s.q.route,
		Shard: sq.shard, Group: sq.group, Snapshot: f.p.version.snapshot, Limit: s.q.limit,
		Deadline: s.deadline, Idempotent: true, Fingerprint: s.fingerprint,
		Suspect: s.suspect, Acting: acting, Body: s.q.body,
	})
}

// call sends a batch and delivers the reply. It runs in its own goroutine and may
// outlive run.
func (f *fanout) call(ctx context.Context, b *batch) {
	r := reply{batch: b}
	if b.home.Self() {
		r.results = []shard.Result{f.s.e.fleet.Local(ctx, b.requests[0])}
	} else {
		r.results, r.err = f.s.e.fleet.Relay(ctx, b.home, b.requests)
	}
	select {
	case f.replies <- r:
	case <-ctx.Done():
	}
}

// reassignSilent sends the subqueries of daemons that have been silent for
// silenceLimit to acting homes, within the budget. It returns the time until the
// next check. Repeated checks are needed because a daemon may answer another
// query after it received this one, and become silent only then.
func (f *fanout) reassignSilent(ctx context.Context, silenceLimit time.Duration) time.Duration {
	now, next := f.s.e.clk.Boot(), silenceLimit
	for _, b := range f.batches {
		if b.answered || b.reassigned || b.home.Self() {
			continue
		}
		if left := silenceLimit - (now - max(b.sentAt, f.s.e.reachability.lastAnswer(b.home))); left > 0 {
			next = min(next, left)
			continue
		}
		f.s.e.reachability.recordFailure(b.home)
		indexes := f.unaccepted(b.subqueries)
		if len(indexes) == 0 || !f.s.e.budget.spend(f.s.service.Name(), len(indexes)) {
			continue
		}
		b.reassigned = true
		meter.Retried("entry", refusal.HomeUnreachable)
		f.send(ctx, indexes)
	}
	return next
}

func (f *fanout) unaccepted(indexes []int) []int {
	var remaining []int
	for _, i := range indexes {
		if !f.p.subqueries[i].accepted {
			remaining = append(remaining, i)
		}
	}
	return remaining
}

// expire fails the subqueries that are still pending when ctx ends.
func (f *fanout) expire(ctx context.Context, indexes []int) {
	kind := refusal.Cancelled
	if context.Cause(ctx) == context.DeadlineExceeded {
		kind = refusal.Deadline
	}
	for _, i := range indexes {
		if sq := &f.p.subqueries[i]; !sq.accepted && sq.pending > 0 {
			// The pending send may have run.
			sq.fail(kind, refusal.Unknown, "no answer before the query ended")
		}
	}
}

// skipRest fails the subqueries of a suspect query that were not sent.
func (f *fanout) skipRest() {
	for i := range f.p.subqueries {
		if sq := &f.p.subqueries[i]; !sq.accepted && sq.reason == refusal.None {
			sq.skipped = true
			sq.fail(refusal.Poisoned, refusal.NotRun, "skipped because an equal request crashed a searcher")
		}
	}
}
