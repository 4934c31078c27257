package once

import (
	"strings"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
)

// Desk answers Outcome calls of other daemons.
type Desk struct {
	incarnation string
	tables      map[Side]*Table
}

// NewDesk returns a Desk of a daemon incarnation with its two tables.
func NewDesk(incarnation string, entry, home *Table) *Desk {
	return &Desk{incarnation: incarnation, tables: map[Side]*Table{Entry: entry, Home: home}}
}

// Outcome answers one call. An identifier that is unknown is barred; when that
// is impossible the reply says known and not finished, which proves nothing.
func (d *Desk) Outcome(in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	if in.Incarnation != d.incarnation {
		return &peerpb.OutcomeReply{WrongIncarnation: true}, nil
	}
	part := strings.SplitN(in.Id, " ", 3)
	if len(part) != 3 || d.tables[Side(part[0])] == nil {
		return nil, refusal.New(refusal.Malformed, "identifier %q has no side and owner", in.Id)
	}
	meter.Count("once.asked", 1)
	r, known := d.tables[Side(part[0])].Bar(part[1], part[2])
	if r == nil {
		return &peerpb.OutcomeReply{Known: true}, nil
	}
	o, finished := r.Outcome()
	return &peerpb.OutcomeReply{
		Known: known, Finished: finished, Kind: string(o.kind), Ran: string(o.ran), Body: o.body, Detail: o.detail,
	}, nil
}
