package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/once"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// attempt executes one non-idempotent request at a home. It tries another daemon
// only after proof that the previous one did not run the request and never will.
type attempt struct {
	e           *Entry
	r           Run
	request     shard.RequestSpec
	deadline    time.Duration
	unconfirmed int // Sends that may have run.
}

func newAttempt(e *Entry, r Run, s *catalogue.Service, groups shardGroups, deadline time.Duration) *attempt {
	n := uint64(len(groups.groups))
	return &attempt{e: e, r: r, deadline: deadline, request: shard.RequestSpec{
		ID: r.id, Owner: r.owner, Class: r.class, Service: s.Name(), Route: r.route,
		Shard: groups.shard, Group: groups.groups[xxhash.Sum64String(r.id)%n],
		Deadline: deadline, Fingerprint: r.Fingerprint(), Body: r.body,
		Suspect: e.suspectState(r.Fingerprint()) == Suspect,
	}}
}

func (a *attempt) run(ctx context.Context) once.Outcome {
	last := once.Refused(refusal.New(refusal.HomeUnreachable, "no daemon serves replica group %q", a.request.Group).WithRan(refusal.NotRun))
	var tried []string
	rounds := 0
	for ctx.Err() == nil {
		h, acting, ok := a.e.pickHome(a.request.Group, tried)
		if !ok {
			// Retries after a pause: a handoff of the home completes within a second.
			pause := firstRetryPause << rounds
			if rounds >= maxRetryRounds || a.deadline-a.e.clk.Boot() <= 2*pause || clock.Sleep(ctx, a.e.clk, pause) != nil {
				break
			}
			tried, rounds = nil, rounds+1
			continue
		}
		invariant.Check("entry.run_once", a.unconfirmed == 0, "request %s is sent again without proof that the previous send did not run", a.r.id)
		a.unconfirmed++
		spec := a.request
		spec.Acting = acting
		tried = append(tried, h.Name())
		last = a.send(ctx, h, shard.NewRequest(spec))
		if last.Ran() != refusal.NotRun {
			return last
		}
		a.unconfirmed--
		switch last.Kind() {
		case refusal.NotHome, refusal.ShuttingDown, refusal.HomeUnreachable, refusal.WrongIncarnation:
			meter.Retried("entry", last.Kind())
		default:
			return last
		}
	}
	if ctx.Err() != nil && last.Ran() == refusal.NotRun {
		return once.Refused(refusal.New(refusal.Deadline, "%s", last.Detail()).WithRan(refusal.NotRun))
	}
	return last
}

// send sends the request to h. If the outcome is "not run", h will never run it.
func (a *attempt) send(ctx context.Context, h Home, r shard.Request) once.Outcome {
	if h.Self() {
		return a.outcome(a.e.fleet.Local(ctx, r))
	}
	results, err := a.e.fleet.Relay(ctx, h, []shard.Request{r})
	if err != nil {
		e := refusal.FromError(err)
		if ctx.Err() == nil {
			a.e.reachability.recordFailure(h)
		}
		if e.Ran() == refusal.NotRun {
			return once.Refused(e)
		}
		if a.e.clk.Boot() >= a.deadline {
			// The process may have paused for long, so the home's record of the
			// request may have expired.
			return outcomeUnknown(e.Detail())
		}
		return a.e.pollOutcome(ctx, h, once.NewHomeQuery(a.r.owner, a.r.id))
	}
	a.e.reachability.recordSuccess(h)
	res, n := findResult(results, r)
	if n != 1 {
		return outcomeUnknown("reply of home " + h.Name() + " does not contain exactly one result for the request")
	}
	return a.outcome(*res)
}

func (a *attempt) outcome(r shard.Result) once.Outcome {
	switch {
	case r.Kind() == refusal.None:
		return once.Answered(r.Body())
	case r.Ran() == refusal.NotRun:
		return once.Refused(refusal.New(r.Kind(), "%s", r.Detail()).WithRan(refusal.NotRun))
	default:
		return outcomeUnknown(string(r.Kind()) + ": " + r.Detail())
	}
}

func outcomeUnknown(detail string) once.Outcome {
	meter.Count("entry.run_unknown", 1)
	return once.Refused(refusal.New(refusal.OutcomeUnknown, "%s", detail))
}
