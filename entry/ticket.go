package entry

import "time"

// Ticket names the daemon incarnation that a non-idempotent request belongs to.
type Ticket struct {
	incarnation string
	issued      time.Time
}

// Run is a decoded non-idempotent request of a caller.
type Run struct {
	Query
	ticket Ticket
}
