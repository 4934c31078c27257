package home

import (
	"slices"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// task is one request at its home. The group's lock guards it.
type task struct {
	req      shard.Request
	arrived  time.Duration
	deadline time.Duration // When the home answers at the latest.
	reply    func(shard.Result)

	done     bool
	in       *lane // The list in which it waits; nil when it does not.
	prev     *task
	next     *task
	running  []*attempt
	tried    []*member
	sends    int
	hedging  bool     // It waits for its hedge while an attempt runs.
	silent   *attempt // Its connection is silent; it waits to be sent over another.
	prepaid  bool     // Its next send has its token already.
	crashed  bool
	warmOnly bool           // A cold searcher refused it; only warm ones may run it.
	retry    refusal.Kind   // Reason of the retry that it waits for.
	cause    *refusal.Error // End of its last attempt.
	starved  clock.Timer    // Runs while it waits for a token; nil otherwise.
	ran      refusal.Ran
	expiry   clock.Timer
	hedge    clock.Timer
}

// extra reports whether the next send needs a token of the budget.
func (t *task) extra() bool { return t.sends > 0 }

// repeatable reports whether the request may be sent again after an attempt
// whose outcome is unknown.
func (t *task) repeatable() bool { return t.req.Idempotent() && !t.req.Suspect() && !t.crashed }

func (t *task) hasTried(m *member) bool { return slices.Contains(t.tried, m) }

func (t *task) drop(a *attempt) {
	t.running = slices.DeleteFunc(t.running, func(b *attempt) bool { return a == b })
}

// awaitsReply reports whether an attempt runs whose connection is not known to
// be silent.
func (t *task) awaitsReply() bool {
	return slices.ContainsFunc(t.running, func(a *attempt) bool { return !a.silent })
}

// notRun reports whether no attempt can have run.
func (t *task) notRun() bool { return t.ran == refusal.NotRun && len(t.running) == 0 }
