package daemon

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
)

// shareSource is the subset of the cell that grants shares.
type shareSource struct {
	key     func() uint64
	share   func(catalogue.Group) lease.Share
	confirm func(key uint64)
}

// applyShares passes the shares of groups to apply and then confirms to the cell that
// the homes have them. Without the confirmation, a daemon that resumes after a pause
// would send with its old shares under a new lease. The key is read first, so that
// shares that change in the meantime do not count as applied.
func (s shareSource) applyShares(groups []catalogue.Group, apply func(map[string]lease.Share)) {
	key := s.key()
	shares := make(map[string]lease.Share)
	for _, g := range groups {
		if share := s.share(g); share != lease.None {
			shares[g.ID()] = share
		}
	}
	apply(shares)
	s.confirm(key)
}
