package once

// State is the result of Begin for an identifier.
type State int

// States of an identifier.
const (
	// Fresh means that the identifier is new. The caller of Begin must execute
	// the request and finish the record.
	Fresh State = iota
	// Seen means that a request with the identifier is running or has an outcome.
	Seen
	// Reused means that the identifier was used for another request.
	Reused
	// Full means that the table has no room for the owner. Nothing was recorded.
	Full
)
