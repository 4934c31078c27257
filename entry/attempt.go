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

// attempt sends one non-idempotent request to a home. It goes to another daemon
// only after proof that the earlier one did not and will not run it.
type attempt struct {
	e        *Entry
	r        Run
	request  shard.RequestSpec
	deadline time.Duration
	unproved int // Sends without proof of not having run.
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

func (a *attempt) work(ctx context.Context) once.Outcome {
	last := once.Refused(refusal.New(refusal.HomeUnreachable, "no daemon serves the group").WithRan(refusal.NotRun))
	var tried []string
	rounds := 0
	for ctx.Err() == nil {
		h, acting, ok := a.e.pick(a.request.Group, tried)
		if !ok {
			// Homes change hands within a second.
			pause := firstRound << rounds
			if rounds >= maxRounds || a.deadline-a.e.clk.Boot() <= 2*pause || clock.Sleep(ctx, a.e.clk, pause) != nil {
				break
			}
			tried, rounds = nil, rounds+1
			continue
		}
		invariant.Check("entry.run_once", a.unproved == 0, "request %s is sent again without proof", a.r.id)
		a.unproved++
		spec := a.request
		spec.Acting = acting
		tried = append(tried, h.Name())
		last = a.send(ctx, h, shard.NewRequest(spec))
		if last.Ran() != refusal.NotRun {
			return last
		}
		a.unproved--
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

// send returns an outcome whose "not run" is final for that daemon.
func (a *attempt) send(ctx context.Context, h Home, r shard.Request) once.Outcome {
	if h.Self() {
		return a.outcome(a.e.fleet.Local(ctx, r))
	}
	results, err := a.e.fleet.Relay(ctx, h, []shard.Request{r})
	if err != nil {
		e := refusal.Of(err)
		if ctx.Err() == nil {
			a.e.reach.failed(h)
		}
		if e.Ran() == refusal.NotRun {
			return once.Refused(e)
		}
		if a.e.clk.Boot() >= a.deadline {
			// After a long pause the home may have forgotten the request.
			return unknown(e.Detail())
		}
		return a.e.ask(ctx, h, once.AskHome(a.r.owner, a.r.id))
	}
	a.e.reach.answered(h)
	res, n := find(results, r)
	if n != 1 {
		return unknown("home's reply lacks the request")
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
		return unknown(string(r.Kind()) + ": " + r.Detail())
	}
}

func unknown(detail string) once.Outcome {
	meter.Count("entry.run_unknown", 1)
	return once.Refused(refusal.New(refusal.OutcomeUnknown, "%s", detail))
}
