package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a daemon that is registered in the store.
type Candidate struct {
	name     string
	zone     string
	peer     string
	capacity float64
}

// NewCandidate returns a registered daemon. Capacity is its part of a core, which
// tells strong VMs from weak ones.
func NewCandidate(name, zone, peer string, capacity float64) Candidate {
	return Candidate{name: name, zone: zone, peer: peer, capacity: capacity}
}

// Name returns the daemon's name.
func (c Candidate) Name() string { return c.name }

// Zone returns its failure domain.
func (c Candidate) Zone() string { return c.zone }

// Capacity returns the VM's part of a core.
func (c Candidate) Capacity() float64 { return c.capacity }

// Peer returns its address for other daemons.
func (c Candidate) Peer() string { return c.peer }

const (
	// minPerZone is how many daemons of a failure domain serve callers at least,
	// so that one may be lost.
	minPerZone = 2
	// maxServing bounds the daemons that serve callers, so that each of them has
	// three connections to a target with a cap of about 60.
	maxServing = 18
	// strongShare is the part of the strongest VM's capacity from which another
	// one counts as strong.
	strongShare = 0.6
)

// Select returns the daemons that callers are sent to, in their order of
// precedence. All daemons come to the same result from the same registry: the
// strong VMs of each failure domain, at least two of them, skipping those that
// are lost. Daemons that are not selected stand by, and cost the targets and the
// other daemons next to nothing.
func Select(all []Candidate, lost func(name string) bool) []Candidate {
	byZone := make(map[string][]Candidate)
	strongest := 0.0
	for _, c := range all {
		if lost(c.name) {
			continue
		}
		byZone[c.zone] = append(byZone[c.zone], c)
		strongest = max(strongest, c.capacity)
	}
	var ranks [][]Candidate // By rank within the failure domain.
	for _, cs := range byZone {
		slices.SortFunc(cs, precedence)
		for rank, c := range cs {
			if rank >= minPerZone && c.capacity < strongShare*strongest {
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
		slices.SortFunc(cs, precedence)
		selected = append(selected, cs...)
	}
	return selected[:min(len(selected), maxServing)]
}

// precedence orders strong VMs first and equal ones by a hash of their names.
func precedence(a, b Candidate) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity),
		cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)),
		cmp.Compare(a.name, b.name))
}
