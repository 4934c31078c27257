package targets

// Purpose is the reason for a call. It determines the call's effect on the
// budget of extra sends.
type Purpose int

// The purposes of a call.
const (
	// First is the first call of a request to a group; it adds to the budget.
	First Purpose = iota
	// Resend follows a call of which no byte was sent; it uses no budget.
	Resend
	// Retry follows a call that failed after it was sent; it uses budget.
	Retry
	// Hedge runs in parallel with a call that has been unanswered for too long;
	// it uses budget.
	Hedge
)
