package lease

// Share is the part of a replica group's connection and cold-start budgets that a
// daemon may use.
type Share int

// The shares, smallest first.
const (
	// None forbids new sends.
	None Share = iota
	// Acting is the share of a stand-in for an unreachable home: half of the
	// reserved connections and no requests to cold searchers.
	Acting
	// Reserved is the share of a new home until it is certain that the previous
	// home has stopped: the reserved connections and no requests to cold searchers.
	Reserved
	// Full is the share of an established home: all but the reserved connections.
	Full
)

// ReservedFraction is the fraction of each connection cap that an established home
// leaves unused, so that a new home can start before the previous one has stopped.
const ReservedFraction = 0.2

// String returns the name of the share as used in status and logs.
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
