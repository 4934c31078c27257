package entry

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/once"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
)

const (
	// firstAskPause and lastAskPause bound the pause between two questions
	// about a request that is still running; each doubles the one before.
	firstAskPause = 5 * time.Millisecond
	lastAskPause  = 200 * time.Millisecond
)

// runElsewhere finds the fate of a request that belongs to another incarnation.
// The request never runs here.
func (e *Entry) runElsewhere(ctx context.Context, r Run) once.Outcome {
	h, ok := e.fleet.Member(r.ticket.incarnation)
	if !ok {
		return unknown("the request belongs to an incarnation that is not a member")
	}
	return e.ask(ctx, h, once.AskEntry(r.ticket.issued, r.owner, r.id))
}

// ask returns the outcome of a request at another daemon. An identifier that is
// unknown there is barred there, so the outcome "not run" is final.
func (e *Entry) ask(ctx context.Context, h Home, q once.Question) once.Outcome {
	for pause := firstAskPause; ; pause = min(2*pause, lastAskPause) {
		reply, err := e.fleet.Outcome(ctx, h, &peerpb.OutcomeRequest{Id: q.String(), Incarnation: h.Incarnation()})
		if err != nil && ctx.Err() == nil {
			e.reach.failed(h)
		}
		switch {
		case err != nil:
			return unknown("daemon that the request belongs to does not answer")
		case reply.WrongIncarnation:
			return unknown("incarnation that the request belongs to has ended")
		case reply.Finished:
			return outcomeOf(reply)
		}
		if clock.Sleep(ctx, e.clk, pause) != nil {
			return unknown("request is still running")
		}
	}
}

func outcomeOf(r *peerpb.OutcomeReply) once.Outcome {
	kind := refusal.Kind(r.Kind)
	switch {
	case kind == refusal.None && refusal.Ran(r.Ran) == refusal.DidRun:
		return once.Answered(r.Body)
	case refusal.Ran(r.Ran) == refusal.NotRun:
		return once.Refused(refusal.New(kind, "%s", r.Detail).WithRan(refusal.NotRun))
	default:
		return unknown(r.Kind + ": " + r.Detail)
	}
}
