package once

import (
	"context"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// Guard executes the requests that are relayed to a home. It runs each
// non-idempotent request at most once.
type Guard struct {
	t   *Table
	run func(context.Context, shard.Request) shard.Result
}

// NewGuard returns a Guard that executes requests with run and records them in t.
func NewGuard(t *Table, run func(context.Context, shard.Request) shard.Result) *Guard {
	return &Guard{t: t, run: run}
}

// Do executes r and returns its result. If r is a copy of an earlier non-idempotent
// request, Do returns the outcome of that request. Idempotent requests are not
// recorded.
func (g *Guard) Do(ctx context.Context, r shard.Request) shard.Result {
	if r.Idempotent() {
		return g.run(ctx, r)
	}
	rec, state := g.t.Begin(r.Owner(), r.ID(), r.Fingerprint())
	switch state {
	case Full:
		return result(r, Refused(refusal.New(refusal.Overloaded, "identifier table has no room for owner %q", r.Owner())))
	case Reused:
		return result(r, Refused(refusal.New(refusal.Malformed, "identifier was already used for another request").WithRan(refusal.NotRun)))
	case Seen:
		meter.Count("once.home.resent", 1)
		select {
		case <-rec.Done():
			return result(r, rec.outcome)
		case <-ctx.Done():
			return result(r, Refused(refusal.New(refusal.OutcomeUnknown, "request is still running")))
		}
	}
	// If run panics, this outcome is recorded, so that the identifier cannot run again.
	o := Refused(refusal.New(refusal.OutcomeUnknown, "home failed before the outcome was known"))
	defer func() {
		// An entry that gets "not run" may send the request to this home again.
		// An entry that gets no reply asks for the outcome, which bars the
		// identifier.
		if o.ran == refusal.NotRun {
			rec.Forget(o)
			return
		}
		rec.Finish(o)
	}()
	res := g.run(ctx, r)
	o = outcomeOf(res)
	return res
}

func outcomeOf(r shard.Result) Outcome {
	ran := r.Ran()
	if ran == "" {
		ran = refusal.Unknown
	}
	if r.Kind() == refusal.None {
		ran = refusal.DidRun
	}
	return Outcome{kind: r.Kind(), ran: ran, detail: r.Detail(), body: r.Body()}
}

func result(r shard.Request, o Outcome) shard.Result {
	return shard.NewResult(shard.ResultSpec{
		Kind: o.kind, Ran: o.ran, Shard: r.Shard(), Group: r.Group(), Body: o.body, Detail: o.detail,
	})
}
