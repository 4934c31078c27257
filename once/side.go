package once

// Side selects the table that an Outcome call asks for.
type Side string

// The sides.
const (
	// Entry is the table of the incarnation that requests belong to.
	Entry Side = "entry"
	// Home is the table of relayed requests.
	Home Side = "home"
)
