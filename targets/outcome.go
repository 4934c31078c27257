package targets

// Outcome is the result of one call.
type Outcome string

// The outcomes of a call.
const (
	// Answered is a complete, successful answer.
	Answered Outcome = "answered"
	// Failed is a complete answer that reports a failure; the request ran.
	Failed Outcome = "failed"
	// Refused is a complete answer stating that the request did not run.
	Refused Outcome = "refused"
	// Misdirected is a refusal because another target now uses the address.
	Misdirected Outcome = "misdirected"
	// Broken means that the connection ended or delivered a malformed answer
	// after the request was sent, so the request may have run.
	Broken Outcome = "broken"
	// NotSent means that no byte of the request was sent.
	NotSent Outcome = "not_sent"
)

// MayHaveRun reports whether a target may have run the request.
func (o Outcome) MayHaveRun() bool { return o == Answered || o == Failed || o == Broken }
