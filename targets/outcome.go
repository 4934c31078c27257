package targets

// Outcome tells what became of one call.
type Outcome string

// The outcomes of a call.
const (
	// Answered is a complete success.
	Answered Outcome = "answered"
	// Failed is a complete answer that reports a failure; the request ran.
	Failed Outcome = "failed"
	// Refused is a complete answer that states that the request did not run.
	Refused Outcome = "refused"
	// Misdirected is a refusal because another target has the address.
	Misdirected Outcome = "misdirected"
	// Broken is a connection that ended or spoke nonsense after the request was
	// sent, so the request may have run.
	Broken Outcome = "broken"
	// NotSent is a call of which no byte was sent.
	NotSent Outcome = "not_sent"
)

// MayHaveRun reports whether a target may have run the request.
func (o Outcome) MayHaveRun() bool { return o == Answered || o == Failed || o == Broken }
