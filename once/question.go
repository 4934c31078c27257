package once

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"medlaryard.example/medlaryard/refusal"
)

// Question is what an Outcome call asks for. It travels as its identifier.
type Question struct {
	side   Side
	issued time.Time
	owner  string
	id     string
}

// AskEntry asks the incarnation that a request belongs to. The ticket's time
// lets it tell an identifier that it has forgotten from one that it never saw.
func AskEntry(issued time.Time, owner, id string) Question {
	return Question{side: Entry, issued: issued, owner: owner, id: id}
}

// AskHome asks a home about a request that was relayed to it within the
// request's deadline.
func AskHome(owner, id string) Question {
	return Question{side: Home, owner: owner, id: id}
}

// String encodes the question. Neither owner nor identifier contains a space.
func (q Question) String() string {
	ms := int64(0)
	if !q.issued.IsZero() {
		ms = q.issued.UnixMilli()
	}
	return fmt.Sprintf("%s %d %s %s", q.side, ms, q.owner, q.id)
}

func parseQuestion(s string) (Question, error) {
	part := strings.SplitN(s, " ", 4)
	if len(part) != 4 {
		return Question{}, refusal.New(refusal.Malformed, "question %q has not four parts", s)
	}
	ms, err := strconv.ParseInt(part[1], 10, 64)
	if err != nil {
		return Question{}, refusal.New(refusal.Malformed, "question %q: %v", s, err)
	}
	q := Question{side: Side(part[0]), owner: part[2], id: part[3]}
	if ms != 0 {
		q.issued = time.UnixMilli(ms)
	}
	if q.side == Entry && ms == 0 || q.side != Entry && q.side != Home {
		return Question{}, refusal.New(refusal.Malformed, "question %q has side %q and time %d", s, q.side, ms)
	}
	return q, nil
}
