package once

// State is what Begin found.
type State int

// The states.
const (
	// Fresh is an identifier seen for the first time: the caller of Begin runs
	// the request and calls Finish.
	Fresh State = iota
	// Seen is an identifier that is running or has an outcome.
	Seen
	// Reused is an identifier that was used for another request.
	Reused
	// Full means that the table has no room. Nothing was recorded.
	Full
)
