package home

import (
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/searcher"
	"medlaryard.example/medlaryard/shard"
)

// The invariants that hold at every result.
const (
	resultOnce  invariant.Name = "home.one_result"
	resultLabel invariant.Name = "home.result_has_snapshot"
	resultRan   invariant.Name = "home.not_run_is_true"
)

// answer ends a task with the reply of one of its attempts.
func (g *group) answer(a *attempt, r searcher.Reply) {
	t := a.t
	if !invariant.Check(resultLabel, t.req.Snapshot() == 0 || r.Label().Snapshot() == t.req.Snapshot(),
		"request %s: snapshot %d, asked for %d", t.req.ID(), r.Label().Snapshot(), t.req.Snapshot()) {
		t.ran = refusal.DidRun
		g.refuse(t, refusal.New(refusal.BadReply, "reply is from snapshot %d", r.Label().Snapshot()))
		return
	}
	hits := r.Hits()
	if n := t.req.Limit(); n > 0 && len(hits) > n {
		hits = hits[:n]
	}
	g.finish(t, shard.ResultSpec{
		Ran:      refusal.DidRun,
		Searcher: a.m.spec.Name(),
		Version:  a.version,
		Label:    r.Label(),
		Hits:     hits,
		Body:     r.Body(),
	})
}

// refuse ends a task without an answer. What the task's attempts prove about
// having run takes precedence over what e says.
func (g *group) refuse(t *task, e *refusal.Error) {
	ran := refusal.NotRun
	if !t.notRun() {
		ran = refusal.Unknown
	}
	invariant.Check(resultRan, ran != refusal.NotRun || (t.ran == refusal.NotRun && len(t.running) == 0),
		"request %s: outcome so far %s", t.req.ID(), t.ran)
	kind := e.Kind()
	if ran == refusal.Unknown && !t.req.Idempotent() {
		kind = refusal.OutcomeUnknown
	}
	spec := shard.ResultSpec{Kind: kind, Ran: ran, Crashed: t.crashed, Detail: e.Detail()}
	if kind == refusal.SnapshotGone {
		spec.AvailableSnapshots = g.held()
	}
	meter.Refused("home", kind)
	g.finish(t, spec)
}

// finish ends a task: it leaves the queue, its timers stop and what still runs
// for it is cancelled.
func (g *group) finish(t *task, spec shard.ResultSpec) {
	if !invariant.Check(resultOnce, !t.done, "request %s", t.req.ID()) {
		return
	}
	t.done = true
	g.queue.remove(t)
	if t.expiry != nil {
		t.expiry.Stop()
	}
	if t.hedge != nil {
		t.hedge.Stop()
	}
	t.sated()
	if t.prepaid {
		t.prepaid = false
		g.service.budget.refund()
	}
	for _, a := range t.running {
		meter.Count("home.cancelled", 1)
		a.cancel()
	}
	spec.Shard, spec.Group, spec.Attempts = g.shard, g.id, t.sends
	t.reply(shard.NewResult(spec))
}
