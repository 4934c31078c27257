package node

import "slices"

// servingState ranks a daemon's ability to serve callers; lower values are
// preferred.
type servingState int

const (
	stateServing servingState = iota // Selected to serve callers.
	stateStandby                     // Able to serve, but not selected.
	stateSilent                      // Silent since a heartbeat in which it was able to serve; also this daemon if it cannot serve.
)

// callerEndpoint is a daemon whose address may be given to callers.
type callerEndpoint struct {
	address string
	region  string
	state   servingState
}

// selectAddresses returns the addresses of the best endpoints for a caller in
// region. Live daemons of the region precede live daemons of other regions, and
// serving daemons precede standby daemons. Silent daemons come last. They remain
// in use because callers may reach them even if this daemon does not.
func selectAddresses(endpoints []callerEndpoint, region string) []string {
	rank := func(e callerEndpoint) int {
		r := int(e.state)
		if e.region != region {
			r += int(stateSilent)
		}
		if e.state == stateSilent {
			r += 2 * int(stateSilent)
		}
		return r
	}
	best := slices.MinFunc(endpoints, func(a, b callerEndpoint) int { return rank(a) - rank(b) })
	var addresses []string
	for _, e := range endpoints {
		if rank(e) == rank(best) {
			addresses = append(addresses, e.address)
		}
	}
	return addresses
}
