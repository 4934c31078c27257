package once

import (
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
)

// Responder answers Outcome calls from other daemons.
type Responder struct {
	incarnation string
	now         func() time.Time
	tables      map[Role]*Table
}

// NewResponder returns a Responder for the tables of a daemon incarnation. The
// function now must be the clock with which the daemon issues tickets.
func NewResponder(incarnation string, now func() time.Time, entry, home *Table) *Responder {
	return &Responder{incarnation: incarnation, now: now, tables: map[Role]*Table{Entry: entry, Home: home}}
}

// Outcome answers one call. It bars an identifier that the table does not hold. If
// the record may have expired, or the table has no room, the outcome is unknown.
func (r *Responder) Outcome(in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	if in.Incarnation != r.incarnation {
		return &peerpb.OutcomeReply{WrongIncarnation: true}, nil
	}
	q, err := parseOutcomeQuery(in.Id)
	if err != nil {
		return nil, err
	}
	meter.Count("once.asked", 1)
	t := r.tables[q.role]
	if !q.issued.IsZero() && r.now().Sub(q.issued) >= t.Window() && t.Find(q.owner, q.id) == nil {
		return unknownOutcome(refusal.TicketExpired, "the request's record may have expired"), nil
	}
	record, known := t.FindOrBar(q.owner, q.id)
	if record == nil {
		return unknownOutcome(refusal.OutcomeUnknown, "identifier table has no room for the owner"), nil
	}
	o, finished := record.Outcome()
	return &peerpb.OutcomeReply{
		Known: known, Finished: finished, Kind: string(o.kind), Ran: string(o.ran), Body: o.body, Detail: o.detail,
	}, nil
}

func unknownOutcome(kind refusal.Kind, detail string) *peerpb.OutcomeReply {
	return &peerpb.OutcomeReply{
		Known: true, Finished: true, Kind: string(kind), Ran: string(refusal.Unknown), Detail: detail,
	}
}
