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
	deadline time.Duration // Latest time of the home's reply.
	reply    func(shard.Result)

	done          bool
	list          *taskList // List that the task waits in; nil when it does not wait.
	prev          *task
	next          *task
	running       []*attempt
	tried         []*member
	sends         int
	hedgePending  bool     // Waits for a hedge while an attempt runs.
	silentAttempt *attempt // Attempt on a silent connection; the task waits to be resent on another connection.
	hasToken      bool     // The token for the next send is already spent.
	crashed       bool
	crashedAlone  bool           // The searcher ran no other request.
	warmOnly      bool           // A cold searcher refused the task, so only warm ones may run it.
	retryReason   refusal.Kind   // Reason of the pending retry.
	lastError     *refusal.Error // Failure of the last attempt.
	tokenTimer    clock.Timer    // Limits the wait for a token; nil when the task does not wait for one.
	ran           refusal.Ran
	deadlineTimer clock.Timer
	hedgeTimer    clock.Timer
}

// needsToken reports whether the next send needs a token of the extra budget.
func (t *task) needsToken() bool { return t.sends > 0 }

// mayResend reports whether the request may be sent again after an attempt with
// an unknown outcome.
func (t *task) mayResend() bool { return t.req.Idempotent() && !t.req.Suspect() && !t.crashed }

func (t *task) hasTried(m *member) bool { return slices.Contains(t.tried, m) }

func (t *task) removeAttempt(a *attempt) {
	t.running = slices.DeleteFunc(t.running, func(b *attempt) bool { return a == b })
}

// awaitsReply reports whether an attempt is running on a connection that is not
// known to be silent.
func (t *task) awaitsReply() bool {
	return slices.ContainsFunc(t.running, func(a *attempt) bool { return !a.silent })
}

// notRun reports whether it is certain that no attempt ran on a searcher.
func (t *task) notRun() bool { return t.ran == refusal.NotRun && len(t.running) == 0 }
