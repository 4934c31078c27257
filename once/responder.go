package once

import (
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
)

// Responder answers Outcome calls of other daemons.
type Responder struct {
	incarnation string
	now         func() time.Time
	tables      map[Side]*Table
}

// NewResponder returns a Responder of a daemon incarnation with its two tables. The
// function is the clock that tickets are issued with.
func NewResponder(incarnation string, now func() time.Time, entry, home *Table) *Responder {
	return &Responder{incarnation: incarnation, now: now, tables: map[Side]*Table{Entry: entry, Home: home}}
}

// Outcome answers one call. An identifier that was never seen is barred.
func (r *Responder) Outcome(in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	if in.Incarnation != r.incarnation {
		return &peerpb.OutcomeReply{WrongIncarnation: true}, nil
	}
	q, err := parseQuestion(in.Id)
	if err != nil {
		return nil, err
	}
	meter.Count("once.asked", 1)
	t := r.tables[q.side]
	if !q.issued.IsZero() && r.now().Sub(q.issued) >= t.Window() && t.Find(q.owner, q.id) == nil {
		return unproved(refusal.TicketExpired, "the request's record may have expired"), nil
	}
	record, known := t.Bar(q.owner, q.id)
	if record == nil {
		return unproved(refusal.OutcomeUnknown, "identifier table is full"), nil
	}
	o, finished := record.Outcome()
	return &peerpb.OutcomeReply{
		Known: known, Finished: finished, Kind: string(o.kind), Ran: string(o.ran), Body: o.body, Detail: o.detail,
	}, nil
}

func unproved(kind refusal.Kind, detail string) *peerpb.OutcomeReply {
	return &peerpb.OutcomeReply{
		Known: true, Finished: true, Kind: string(kind), Ran: string(refusal.Unknown), Detail: detail,
	}
}
