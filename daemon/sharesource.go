package daemon

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
)

// shareSource is the part of the cell that grants shares.
type shareSource struct {
	key     func() uint64
	share   func(catalogue.Group) lease.Share
	applied func(key uint64)
}

// pass hands the shares of groups to apply and reports to the cell that the homes
// have them. Without the report, a daemon that wakes from a pause would send by
// its old shares under a new lease. The key is read first, so that shares that
// change meanwhile do not count as applied.
func (s shareSource) pass(groups []catalogue.Group, apply func(map[string]lease.Share)) {
	key := s.key()
	shares := make(map[string]lease.Share)
	for _, g := range groups {
		if share := s.share(g); share != lease.None {
			shares[g.ID()] = share
		}
	}
	apply(shares)
	s.applied(key)
}
