package entry

import "time"

// Ticket names the daemon incarnation that executes a non-idempotent request, and
// the time at which that incarnation issued the ticket.
type Ticket struct {
	incarnation string
	issued      time.Time
}
