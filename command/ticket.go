package command

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ticket names the daemon incarnation that may run a non-idempotent request, and
// its time of issue in Unix milliseconds.
type ticket struct {
	Incarnation string `json:"incarnation"`
	IssuedMS    int64  `json:"issued_ms"`
}

// String returns the ticket as INCARNATION/MS, which parseTicket parses.
func (t ticket) String() string { return fmt.Sprintf("%s/%d", t.Incarnation, t.IssuedMS) }

func parseTicket(s string) (ticket, error) {
	incarnation, ms, found := strings.Cut(s, "/")
	issued, err := strconv.ParseInt(ms, 10, 64)
	if !found || incarnation == "" || err != nil {
		return ticket{}, &exitError{code: Usage, err: eris.Errorf("--ticket: expected INCARNATION/MS, found %q", s)}
	}
	return ticket{Incarnation: incarnation, IssuedMS: issued}, nil
}
