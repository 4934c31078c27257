package catalogue

// Policy names a load policy.
type Policy string

// The load policies that a service can select.
const (
	// Baseline sends to the searcher with the shortest queue, in turn if several queues
	// are equally short, and without hedges.
	Baseline Policy = "baseline"
	// Current sends to the searcher with the shortest expected completion time and
	// hedges within a budget.
	Current Policy = "current"
)

// Valid reports whether p is one of the declared policies.
func (p Policy) Valid() bool { return p == Baseline || p == Current }
