package once

import (
	"context"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// Guard is the home's side: it runs each relayed non-idempotent request at most
// once.
type Guard struct {
	t  *Table
	do func(context.Context, shard.Request) shard.Result
}

// NewGuard returns a Guard that runs requests with do and records them in t.
func NewGuard(t *Table, do func(context.Context, shard.Request) shard.Result) *Guard {
	return &Guard{t: t, do: do}
}

// Do runs r. Idempotent requests pass.
func (g *Guard) Do(ctx context.Context, r shard.Request) shard.Result {
	if r.Idempotent() {
		return g.do(ctx, r)
	}
	rec, state := g.t.Begin(r.Owner(), r.ID(), r.Fingerprint())
	switch state {
	case Full:
		return result(r, Refused(refusal.New(refusal.Overloaded, "identifier table is full")))
	case Reused:
		return result(r, Refused(refusal.New(refusal.Malformed, "identifier was used for another request").WithRan(refusal.NotRun)))
	case Seen:
		meter.Count("once.home.resent", 1)
		select {
		case <-rec.Done():
			return result(r, rec.outcome)
		case <-ctx.Done():
			return result(r, Refused(refusal.New(refusal.OutcomeUnknown, "request is still running")))
		}
	}
	// Bars the identifier for good if do panics.
	o := Refused(refusal.New(refusal.OutcomeUnknown, "home failed"))
	defer func() {
		// The entry may send it here again once it knows that it did not run.
		// It asks for the outcome, which bars the identifier, when it does not.
		if o.ran == refusal.NotRun {
			rec.Forget(o)
			return
		}
		rec.Finish(o)
	}()
	res := g.do(ctx, r)
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
