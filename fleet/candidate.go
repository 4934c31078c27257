package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a daemon registered in the store.
type Candidate struct {
	name        string
	domain      string
	peerAddress string
	capacity    float64
}

// NewCandidate returns a registered daemon. Capacity is the capacity of its VM
// in CPU cores and distinguishes strong VMs from weak ones.
func NewCandidate(name, domain, peerAddress string, capacity float64) Candidate {
	return Candidate{name: name, domain: domain, peerAddress: peerAddress, capacity: capacity}
}

// Name returns the daemon's name.
func (c Candidate) Name() string { return c.name }

// Domain returns the daemon's failure domain.
func (c Candidate) Domain() string { return c.domain }

// Capacity returns the capacity of the daemon's VM in CPU cores.
func (c Candidate) Capacity() float64 { return c.capacity }

// PeerAddress returns the daemon's address for other daemons.
func (c Candidate) PeerAddress() string { return c.peerAddress }

const (
	// minPerDomain is the minimum number of serving daemons per failure domain, so
	// that one may be lost.
	minPerDomain = 2
	// maxServing limits the number of serving daemons, so that each gets three
	// connections to a target that accepts about 60.
	maxServing = 18
	// strongCapacityFraction is the fraction of the highest capacity at which a VM
	// counts as strong.
	strongCapacityFraction = 0.6
)

// Select returns the daemons that serve callers, in order of precedence. It
// skips lost daemons. In each failure domain it selects all daemons on strong
// VMs, or the two strongest daemons if fewer are strong. It selects at most
// maxServing daemons. All daemons compute the same result from the same
// registry. Daemons that are not selected are on standby and put almost no load
// on the targets and the other daemons.
func Select(all []Candidate, lost func(name string) bool) []Candidate {
	byDomain := make(map[string][]Candidate)
	strongest := 0.0
	for _, c := range all {
		if lost(c.name) {
			continue
		}
		byDomain[c.domain] = append(byDomain[c.domain], c)
		strongest = max(strongest, c.capacity)
	}
	var ranks [][]Candidate // Indexed by rank within the failure domain.
	for _, cs := range byDomain {
		slices.SortFunc(cs, comparePrecedence)
		for rank, c := range cs {
			if rank >= minPerDomain && c.capacity < strongCapacityFraction*strongest {
				break
			}
			if rank == len(ranks) {
				ranks = append(ranks, nil)
			}
			ranks[rank] = append(ranks[rank], c)
		}
	}
	var selected []Candidate
	for _, cs := range ranks {
		slices.SortFunc(cs, comparePrecedence)
		selected = append(selected, cs...)
	}
	return selected[:min(len(selected), maxServing)]
}

// comparePrecedence orders daemons by descending capacity, and those of equal
// capacity by a hash of their names.
func comparePrecedence(a, b Candidate) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity),
		cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)),
		cmp.Compare(a.name, b.name))
}
