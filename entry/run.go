package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/once"
	"medlaryard.example/medlaryard/refusal"
)

type outcomeReply struct {
	ID      string          `json:"id"`
	Outcome string          `json:"outcome"`
	Body    json.RawMessage `json:"body,omitempty"`
}

func (s *Server) runOnce(c *fasthttp.RequestCtx, arrived time.Duration) {
	data, err := readBody(c)
	if err != nil {
		refuse(c, "", err)
		return
	}
	r, err := decodeRun(data)
	if err != nil {
		refuse(c, r.id, err)
		return
	}
	o := s.e.Run(context.Background(), r, arrived)
	if err := o.Err(); err != nil {
		refuse(c, r.id, err)
		return
	}
	send(c, fasthttp.StatusOK, outcomeReply{ID: r.id, Outcome: "ok", Body: rawOf(o.Body())})
}

// Run runs a non-idempotent request that arrived at the boot time, or returns
// the outcome of its first send.
func (e *Entry) Run(ctx context.Context, r Run, arrived time.Duration) once.Outcome {
	began := e.clk.Boot()
	deadline := arrived + r.deadline - min(answerMargin, r.deadline/marginDivisor)
	ctx, cancel := clock.WithDeadline(ctx, e.clk, deadline)
	defer cancel()
	var o once.Outcome
	if r.ticket.incarnation != e.incarnation {
		o = e.runElsewhere(ctx, r)
	} else {
		o = e.runHere(ctx, r, deadline)
	}
	meter.Latency("entry.run_latency", e.clk.Boot()-began)
	meter.Count("entry.runs", 1)
	return o
}

// runHere serves a request that belongs to this incarnation.
func (e *Entry) runHere(ctx context.Context, r Run, deadline time.Duration) once.Outcome {
	if rec := e.once.Find(r.owner, r.id); rec == nil {
		if err := e.checkTicket(r); err != nil {
			return once.Refused(err)
		}
	}
	rec, state := e.once.Begin(r.owner, r.id, r.Fingerprint())
	switch state {
	case once.Full:
		// A delayed copy of this send must not run once there is room again.
		e.cuts.cut(r.owner, e.Now())
		// A copy that passed the ticket check before the cut may have been
		// recorded meanwhile.
		if rec = e.once.Find(r.owner, r.id); rec == nil {
			return once.Refused(refusal.New(refusal.Overloaded, "identifier table is full"))
		}
	case once.Reused:
		// The identifier's first request may have run.
		return once.Refused(refusal.New(refusal.Malformed, "id: used for another request").WithRan(refusal.Unknown))
	case once.Seen:
		meter.Count("entry.run_resent", 1)
	case once.Fresh:
		if e.cuts.before(r.owner, r.ticket.issued) {
			rec.Finish(once.Refused(refusal.New(refusal.TicketExpired, "ticket is from before an overload")))
			break
		}
		go e.execute(rec, r, deadline)
	}
	select {
	case <-rec.Done():
		o, _ := rec.Outcome()
		return o
	case <-ctx.Done():
		return once.Refused(refusal.New(refusal.OutcomeUnknown, "request is still running"))
	}
}

// checkTicket refuses tickets that may belong to an identifier which is
// forgotten already.
func (e *Entry) checkTicket(r Run) error {
	now := e.Now()
	age := now.Sub(r.ticket.issued)
	switch {
	case age < 0:
		return refusal.New(refusal.Malformed, "ticket.issued_ms: lies %v in the future", -age)
	case age >= e.once.Window():
		// The request may have run so long ago that its record has expired.
		return refusal.New(refusal.TicketExpired, "ticket is %v old", age).WithRan(refusal.Unknown)
	case e.cuts.before(r.owner, r.ticket.issued):
		return refusal.New(refusal.TicketExpired, "ticket is from before an overload")
	}
	return nil
}

// execute runs in its own goroutine, so that the record gets the true outcome
// even when the caller's time ends first.
func (e *Entry) execute(rec *once.Record, r Run, deadline time.Duration) {
	ctx, cancel := clock.WithDeadline(context.Background(), e.clk, deadline)
	defer cancel()
	o := once.Refused(refusal.New(refusal.OutcomeUnknown, "entry failed"))
	defer func() { rec.Finish(o) }()
	service, generation, release, err := e.accept(&r.Query)
	if err != nil {
		o = once.Refused(err)
		return
	}
	defer release()
	if err := e.checkRun(service, r); err != nil {
		o = once.Refused(err)
		return
	}
	groups := e.layouts.of(generation, service).shards[0]
	o = newAttempt(e, r, service, groups, deadline).work(ctx)
}

func (e *Entry) checkRun(s *catalogue.Service, r Run) error {
	switch {
	case !s.NonIdempotent():
		return refusal.New(refusal.Malformed, "service: %q takes no non-idempotent requests", s.Name())
	case len(s.Shards()) != 1:
		return refusal.New(refusal.Malformed, "service: %q is sharded", s.Name())
	case e.suspectState(r.Fingerprint()) == Refused:
		return refusal.New(refusal.Poisoned, "equal requests crashed searchers twice")
	}
	return nil
}
