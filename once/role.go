package once

// Role selects the table that an Outcome call queries.
type Role string

// Roles of a daemon.
const (
	// Entry selects the table of requests whose tickets name the incarnation.
	Entry Role = "entry"
	// Home selects the table of relayed requests.
	Home Role = "home"
)
