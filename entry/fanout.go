package entry

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// reply is the end of one call.
type reply struct {
	batch   *batch
	results []shard.Result
	err     error
}

// fanout sends one plan and collects the results. Only the goroutine that
// calls work touches it.
type fanout struct {
	s       *search
	p       *plan
	replies chan reply
	batches []*batch
	waiting int // Calls without an end.
	// stale is set when a shard no longer holds the target.
	stale bool
	// again ends the wait of parked lanes.
	again clock.Timer
	// ran is what earlier fan-outs of the query leave open.
	ran refusal.Ran
	// crashed is set when a searcher crashed under a suspect request.
	crashed bool
}

func newFanout(s *search, p *plan) *fanout {
	return &fanout{s: s, p: p, replies: make(chan reply), ran: refusal.NotRun}
}

// work returns when all lanes are done, a restart is due or ctx ends.
func (f *fanout) work(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all := make([]int, len(f.p.lanes))
	for i := range all {
		all[i] = i
	}
	if f.s.suspect {
		// One shard bears the risk before the others.
		first := int(f.s.fingerprint % uint64(len(all)))
		f.round(ctx, []int{first})
		if f.crashed || !f.p.lanes[first].merged {
			f.skipRest()
			return
		}
		all = append(all[:first], all[first+1:]...)
	}
	f.round(ctx, all)
}

// round sends lanes and waits for them.
func (f *fanout) round(ctx context.Context, lanes []int) {
	now := f.s.e.clk.Boot()
	f.s.e.budget.earn(f.s.service.Name(), f.s.service.ExtraBudget(), len(lanes), len(f.p.lanes))
	f.send(ctx, lanes)
	patience := min(maxSilence, fractionOf(f.s.deadline-now, silenceFraction))
	silence := f.s.e.clk.NewTimer(patience)
	defer silence.Stop()
	f.again = f.s.e.clk.NewTimer(time.Hour)
	defer f.again.Stop()
	for !f.done(lanes) {
		select {
		case r := <-f.replies:
			f.take(ctx, r)
			if f.stale && f.restartNow() {
				return
			}
		case <-silence.C():
			silence.Reset(f.passOver(ctx, patience))
		case <-f.again.C():
			f.unpark(ctx)
		case <-ctx.Done():
			f.expire(ctx, lanes)
			return
		}
	}
}

func (f *fanout) done(lanes []int) bool {
	for _, i := range lanes {
		if !f.p.lanes[i].done() {
			return false
		}
	}
	return true
}

// send groups lanes by the next daemon that each is sent to.
func (f *fanout) send(ctx context.Context, lanes []int) {
	var fresh []*batch
	id := f.s.e.sendID(f.s.q.id)
	for _, i := range lanes {
		l := &f.p.lanes[i]
		h, acting, ok := f.s.e.pick(l.group, l.tried)
		if !ok {
			f.park(l)
			continue
		}
		if l.tried == nil {
			l.tried = l.names[:0]
		}
		l.tried = append(l.tried, h.Name())
		l.pending++
		fresh = join(fresh, h, i, f.request(id, l, acting))
	}
	for _, b := range fresh {
		b.sent = f.s.e.clk.Boot()
		f.batches = append(f.batches, b)
		f.waiting++
		go f.call(ctx, b)
	}
}

// join adds a request to the batch of its daemon. Requests to this daemon's own
// homes stay apart, so that one slow shard does not hold back the others.
func join(batches []*batch, h Home, lane int, r shard.Request) []*batch {
	if !h.Self() {
		for _, b := range batches {
			if b.home.Name() == h.Name() && b.requests[0].Acting() == r.Acting() {
				b.lanes, b.requests = append(b.lanes, lane), append(b.requests, r)
				return batches
			}
		}
	}
	return append(batches, &batch{home: h, lanes: []int{lane}, requests: []shard.Request{r}})
}

func (f *fanout) request(id string, l *lane, acting bool) shard.Request {
	s := f.s
	return shard.NewRequest(shard.RequestSpec{
		ID: id, Owner: s.q.owner, Class: s.q.class, Service: s.q.service, Route: s.q.route,
		Shard: l.shard, Group: l.group, Snapshot: f.p.target.snapshot, Limit: s.q.limit,
		Deadline: s.deadline, Idempotent: true, Fingerprint: s.fingerprint,
		Suspect: s.suspect, Acting: acting, Body: s.q.body,
	})
}

// call runs in its own goroutine and may outlive work.
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

// passOver sends the lanes of daemons that have been silent for the patience to
// acting homes, within the budget. It returns the time until it is due again: a
// daemon may have answered another query after it received this one, and then
// fall silent.
func (f *fanout) passOver(ctx context.Context, patience time.Duration) time.Duration {
	now, next := f.s.e.clk.Boot(), patience
	for _, b := range f.batches {
		if b.answered || b.given || b.home.Self() {
			continue
		}
		if left := patience - (now - max(b.sent, f.s.e.reach.heard(b.home))); left > 0 {
			next = min(next, left)
			continue
		}
		f.s.e.reach.failed(b.home)
		lanes := f.open(b.lanes)
		if len(lanes) == 0 || !f.s.e.budget.spend(f.s.service.Name(), len(lanes)) {
			continue
		}
		b.given = true
		meter.Retried("entry", refusal.HomeUnreachable)
		f.send(ctx, lanes)
	}
	return next
}

func (f *fanout) open(lanes []int) []int {
	var open []int
	for _, i := range lanes {
		if !f.p.lanes[i].merged {
			open = append(open, i)
		}
	}
	return open
}

// expire marks the lanes that are still open at the end of ctx.
func (f *fanout) expire(ctx context.Context, lanes []int) {
	kind := refusal.Cancelled
	if context.Cause(ctx) == context.DeadlineExceeded {
		kind = refusal.Deadline
	}
	for _, i := range lanes {
		if l := &f.p.lanes[i]; !l.merged && l.pending > 0 {
			// The pending send may have run.
			l.fail(kind, refusal.Unknown, "no answer in time")
		}
	}
}

func (f *fanout) skipRest() {
	for i := range f.p.lanes {
		if l := &f.p.lanes[i]; !l.merged && l.reason == refusal.None {
			l.skipped = true
			l.fail(refusal.Poisoned, refusal.NotRun, "request is suspect")
		}
	}
}
