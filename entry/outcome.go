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
	// minPollPause and maxPollPause limit the pause between two Outcome calls
	// for a request that is still running. The pause doubles after each call.
	minPollPause = 5 * time.Millisecond
	maxPollPause = 200 * time.Millisecond
)

// remoteOutcome returns the outcome of a request whose ticket names another
// incarnation. This daemon never executes such a request.
func (e *Entry) remoteOutcome(ctx context.Context, r Run) once.Outcome {
	h, ok := e.fleet.Member(r.ticket.incarnation)
	if !ok {
		return outcomeUnknown("incarnation in the ticket is not a member of the cell")
	}
	return e.pollOutcome(ctx, h, once.NewEntryQuery(r.ticket.issued, r.owner, r.id))
}

// pollOutcome asks h for the outcome of a request until the request has finished
// there. If the identifier is new to h, h bars it, so the outcome "not run" is
// final.
func (e *Entry) pollOutcome(ctx context.Context, h Home, q once.OutcomeQuery) once.Outcome {
	for pause := minPollPause; ; pause = min(2*pause, maxPollPause) {
		reply, err := e.fleet.Outcome(ctx, h, &peerpb.OutcomeRequest{Id: q.String(), Incarnation: h.Incarnation()})
		if err != nil && ctx.Err() == nil {
			e.reachability.recordFailure(h)
		}
		switch {
		case err != nil:
			return outcomeUnknown("daemon " + h.Name() + " does not answer the outcome call")
		case reply.WrongIncarnation:
			return outcomeUnknown("daemon " + h.Name() + " has restarted as another incarnation")
		case reply.Finished:
			return outcomeOf(reply)
		}
		if clock.Sleep(ctx, e.clk, pause) != nil {
			return outcomeUnknown("request is still running")
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
		return outcomeUnknown(r.Kind + ": " + r.Detail)
	}
}
