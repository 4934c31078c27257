package once

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"medlaryard.example/medlaryard/refusal"
)

// OutcomeQuery names the request that an Outcome call asks about. It is sent as the
// id of an OutcomeRequest.
type OutcomeQuery struct {
	role   Role
	issued time.Time
	owner  string
	id     string
}

// NewEntryQuery returns a query for the incarnation that a request's ticket names.
// With the ticket's issue time, that daemon can distinguish an identifier whose
// record may have expired from one that it never received.
func NewEntryQuery(issued time.Time, owner, id string) OutcomeQuery {
	return OutcomeQuery{role: Entry, issued: issued, owner: owner, id: id}
}

// NewHomeQuery returns a query for a home about a request that was relayed to it. It
// must be sent before the request's deadline.
func NewHomeQuery(owner, id string) OutcomeQuery {
	return OutcomeQuery{role: Home, owner: owner, id: id}
}

// String encodes the query for the wire: role, issue time in Unix milliseconds or 0,
// owner and identifier, separated by spaces. Neither owner nor identifier contains
// a space.
func (q OutcomeQuery) String() string {
	ms := int64(0)
	if !q.issued.IsZero() {
		ms = q.issued.UnixMilli()
	}
	return fmt.Sprintf("%s %d %s %s", q.role, ms, q.owner, q.id)
}

func parseOutcomeQuery(s string) (OutcomeQuery, error) {
	fields := strings.SplitN(s, " ", 4)
	if len(fields) != 4 {
		return OutcomeQuery{}, refusal.New(refusal.Malformed, "outcome query %q does not have four fields", s)
	}
	ms, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return OutcomeQuery{}, refusal.New(refusal.Malformed, "outcome query %q has an invalid time: %v", s, err)
	}
	q := OutcomeQuery{role: Role(fields[0]), owner: fields[2], id: fields[3]}
	if ms != 0 {
		q.issued = time.UnixMilli(ms)
	}
	if q.role == Entry && ms == 0 || q.role != Entry && q.role != Home {
		return OutcomeQuery{}, refusal.New(refusal.Malformed, "outcome query %q has an invalid combination of role %q and time %d", s, q.role, ms)
	}
	return q, nil
}
