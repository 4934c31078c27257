package home

import (
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/searcher"
	"medlaryard.example/medlaryard/shard"
)

// Invariants that are checked at every result.
const (
	resultOnce  invariant.Name = "home.one_result"
	resultLabel invariant.Name = "home.result_has_snapshot"
	resultRan   invariant.Name = "home.not_run_is_true"
)

// answer ends a task with the reply of one of its attempts.
func (g *group) answer(a *attempt, r searcher.Reply) {
	t := a.task
	if !invariant.Check(resultLabel, t.req.Snapshot() == 0 || r.Label().Snapshot() == t.req.Snapshot(),
		"reply to request %s is from snapshot %d, requested %d", t.req.ID(), r.Label().Snapshot(), t.req.Snapshot()) {
		t.ran = refusal.DidRun
		g.refuse(t, refusal.New(refusal.BadReply, "searcher %s replied from snapshot %d, requested %d",
			a.member.spec.Name(), r.Label().Snapshot(), t.req.Snapshot()))
		return
	}
	hits := r.Hits()
	if n := t.req.Limit(); n > 0 && len(hits) > n {
		hits = hits[:n]
	}
	g.finish(t, shard.ResultSpec{
		Ran:      refusal.DidRun,
		Searcher: a.member.spec.Name(),
		Version:  a.version,
		Label:    r.Label(),
		Hits:     hits,
		Body:     r.Body(),
	})
}

// refuse ends a task without a reply. Whether the request ran follows from the
// task's attempts and not from e.
func (g *group) refuse(t *task, e *refusal.Error) {
	ran := refusal.NotRun
	if !t.notRun() {
		ran = refusal.Unknown
	}
	invariant.Check(resultRan, ran != refusal.NotRun || (t.ran == refusal.NotRun && len(t.running) == 0),
		"request %s is refused as not run, outcome so far %s", t.req.ID(), t.ran)
	kind := e.Kind()
	if ran == refusal.Unknown && !t.req.Idempotent() {
		kind = refusal.OutcomeUnknown
	}
	spec := shard.ResultSpec{Kind: kind, Ran: ran, Crashed: t.crashed, CrashedAlone: t.crashedAlone, Detail: e.Detail()}
	if kind == refusal.SnapshotGone {
		spec.AvailableSnapshots = g.availableSnapshots()
	}
	meter.Refused("home", kind)
	g.finish(t, spec)
}

// finish ends a task: it removes the task from the queue, stops its timers,
// cancels its running attempts and returns the result.
func (g *group) finish(t *task, spec shard.ResultSpec) {
	if !invariant.Check(resultOnce, !t.done, "request %s already has a result", t.req.ID()) {
		return
	}
	t.done = true
	g.queue.remove(t)
	if t.deadlineTimer != nil {
		t.deadlineTimer.Stop()
	}
	if t.hedgeTimer != nil {
		t.hedgeTimer.Stop()
	}
	t.stopTokenWait()
	if t.hasToken {
		t.hasToken = false
		g.service.budget.refund()
	}
	for _, a := range t.running {
		meter.Count("home.cancelled", 1)
		a.cancel()
	}
	spec.Shard, spec.Group, spec.Attempts = g.shard, g.id, t.sends
	t.reply(shard.NewResult(spec))
}
