package lease

// Share is the part of a group's connection and cold-start budgets that a
// daemon may use.
type Share int

// The shares, smallest first.
const (
	// None forbids new sends.
	None Share = iota
	// Acting stands in for an unreachable home: half of the reserved
	// connections and nothing to a cold searcher.
	Acting
	// Reserved holds until the previous home has stopped for certain: the
	// reserved connections and nothing to a cold searcher.
	Reserved
	// Full is the share of the established home: all but the reserved connections.
	Full
)

// ReservedFraction is the part of each connection cap that an established home
// leaves unused, so that a new home can start before the old one has stopped.
const ReservedFraction = 0.2

// String returns the share as it stands in status and logs.
func (s Share) String() string {
	switch s {
	case Acting:
		return "acting"
	case Reserved:
		return "reserved"
	case Full:
		return "full"
	default:
		return "none"
	}
}
