package targets

// Purpose tells why a call is made, which decides what it costs.
type Purpose int

// The purposes of a call.
const (
	// First is the first send of a request to a group; it earns budget.
	First Purpose = iota
	// Resend follows a call of which no byte was sent; it costs nothing.
	Resend
	// Retry follows a call that failed after it was sent.
	Retry
	// Hedge runs beside a call that has not been answered for long.
	Hedge
)
