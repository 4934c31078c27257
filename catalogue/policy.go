package catalogue

// Policy names a load policy.
type Policy string

// The load policies that a service can select.
const (
	// Baseline sends to the shortest queue in turn, without hedges.
	Baseline Policy = "baseline"
	// Current sends by expected completion and hedges within a budget.
	Current Policy = "current"
)

// Valid reports whether p is one of the declared policies.
func (p Policy) Valid() bool { return p == Baseline || p == Current }
