package entry

// Run is a decoded non-idempotent request of a caller.
type Run struct {
	Query
	ticket Ticket
}
