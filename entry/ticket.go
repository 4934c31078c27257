package entry

import "time"

// Ticket names the daemon incarnation that a non-idempotent request belongs to.
type Ticket struct {
	incarnation string
	issued      time.Time
}
