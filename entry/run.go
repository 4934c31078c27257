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

func (s *Server) handleRun(c *fasthttp.RequestCtx, arrived time.Duration) {
	key := requestKey(&c.Request.Header)
	if err := s.e.identify(key, ""); err != nil {
		writeUnauthenticated(c, "", unknownRun(err))
		return
	}
	r, err := readRequest(c, true, decodeRun)
	if err != nil {
		writeRefusal(c, r.id, err)
		return
	}
	if err := s.e.identify(key, r.owner); err != nil {
		writeUnauthenticated(c, r.id, unknownRun(err))
		return
	}
	o := s.e.Run(s.e.shutdown.requests, r, arrived)
	if err := o.Err(); err != nil {
		writeRefusal(c, r.id, err)
		return
	}
	writeJSON(c, fasthttp.StatusOK, outcomeReply{ID: r.id, Outcome: "ok", Body: rawJSON(o.Body())})
}

// Run executes a non-idempotent request, or returns the outcome of its first
// send if the request is a resend. The time arrived is the boot time of arrival.
func (e *Entry) Run(ctx context.Context, r Run, arrived time.Duration) once.Outcome {
	began := e.clk.Boot()
	deadline := arrived + r.deadline - min(answerMargin, r.deadline/answerMarginDivisor)
	ctx, cancel := clock.WithDeadline(ctx, e.clk, deadline)
	defer cancel()
	var o once.Outcome
	if r.ticket.incarnation != e.incarnation {
		o = e.remoteOutcome(ctx, r)
	} else {
		o = e.runLocally(ctx, r, arrived, deadline)
	}
	meter.ObserveLatency("entry.run_latency", e.clk.Boot()-began)
	meter.Count("entry.runs", 1)
	return o
}

// runLocally handles a request whose ticket names this incarnation.
func (e *Entry) runLocally(ctx context.Context, r Run, arrived, deadline time.Duration) once.Outcome {
	if e.once.Find(r.owner, r.id) == nil {
		// Another copy may have been recorded before the ticket expired.
		if err := e.checkTicket(r); err != nil && e.once.Find(r.owner, r.id) == nil {
			return once.Refused(err)
		}
	}
	rec, state := e.once.Begin(r.owner, r.id, r.Fingerprint())
	switch state {
	case once.Full:
		// A delayed copy of this send must not run when the table has room again.
		e.cutoffs.set(r.owner, e.Now())
		// A copy that passed the ticket check before the cutoff was set may have
		// been recorded since.
		if rec = e.once.Find(r.owner, r.id); rec == nil {
			return once.Refused(refusal.New(refusal.Overloaded, "identifier table has no room for owner %q", r.owner))
		}
	case once.Reused:
		// The first request with the identifier may have run.
		return once.Refused(refusal.New(refusal.Malformed, "id: already used for another request").WithRan(refusal.Unknown))
	case once.Seen:
		meter.Count("entry.run_resent", 1)
	case once.Fresh:
		if e.cutoffs.rejects(r.owner, r.ticket.issued) {
			rec.Finish(once.Refused(refusal.New(refusal.TicketExpired, "ticket was issued before the identifier table was full")))
			break
		}
		go e.execute(rec, r, arrived, deadline)
	}
	select {
	case <-rec.Done():
		o, _ := rec.Outcome()
		return o
	case <-ctx.Done():
		return once.Refused(refusal.New(refusal.OutcomeUnknown, "request is still running"))
	}
}

// checkTicket refuses a ticket if the record of its identifier may have expired
// or may have been refused by a full table.
func (e *Entry) checkTicket(r Run) error {
	now := e.Now()
	age := now.Sub(r.ticket.issued)
	switch {
	case age < 0:
		return refusal.New(refusal.Malformed, "ticket.issued_ms: lies %v in the future", -age)
	case age >= e.once.Window():
		// The request may have run, and its record may have expired since.
		return refusal.New(refusal.TicketExpired, "ticket is %v old and no longer valid", age).WithRan(refusal.Unknown)
	case e.cutoffs.rejects(r.owner, r.ticket.issued):
		return refusal.New(refusal.TicketExpired, "ticket was issued before the identifier table was full")
	}
	return nil
}

// execute executes the request and finishes its record. It runs in its own
// goroutine, so that the record gets the actual outcome even if the caller's
// deadline passes first.
func (e *Entry) execute(rec *once.Record, r Run, arrived, deadline time.Duration) {
	ctx, cancel := clock.WithDeadline(context.Background(), e.clk, deadline)
	defer cancel()
	o := once.Refused(refusal.New(refusal.OutcomeUnknown, "entry failed before the outcome was known"))
	defer func() { rec.Finish(o) }()
	service, generation, release, err := e.accept(&r.Query, arrived)
	if err != nil {
		o = once.Refused(err)
		return
	}
	defer release()
	if err := e.checkRun(service, r); err != nil {
		o = once.Refused(err)
		return
	}
	groups := e.layouts.get(generation, service).shards[0]
	if o = newAttempt(e, r, service, groups, deadline).run(ctx); o.Kind() == refusal.None {
		e.answered(r.Fingerprint())
	}
}

func (e *Entry) checkRun(s *catalogue.Service, r Run) error {
	switch {
	case !s.NonIdempotent():
		return refusal.New(refusal.Malformed, "service: %q does not accept non-idempotent requests", s.Name())
	case len(s.Shards()) != 1:
		return refusal.New(refusal.Malformed, "service: %q is sharded and cannot run non-idempotent requests", s.Name())
	case e.suspectState(r.Fingerprint()) == Refused:
		return refusal.New(refusal.Poisoned, "equal requests crashed searchers twice")
	}
	return nil
}
