package cell

import (
	"time"

	"medlaryard.example/medlaryard/lease"
)

// view is the epoch that this daemon has adopted and the leases that it holds. Times
// are readings of clock.Clock.Boot.
type view struct {
	membership      *membership
	table           *homeTable      // Nil until the catalogue of the epoch arrives.
	settled         bool            // The leader has confirmed that no earlier home remains.
	settledStored   bool            // The store records settled, so the base of the next epoch is this epoch's members.
	fullBefore      map[string]bool // Groups of which this daemon had the full share before the epoch.
	confirmed       map[string]bool // Groups whose only earlier home has confirmed that it stopped.
	releasedEpoch   uint64          // Latest epoch for which all lost homes have stopped.
	pendingReleases int             // Calls of releaseGroups that have not returned.
	grantedLease    time.Duration   // End of the lease that the leader granted.
	majorityLease   time.Duration   // End of the lease from a majority.
	actingLease     time.Duration   // End of the right to act as a stand-in without a lease.
	shareVersion    uint64          // Increases when shares shrink while no lease is held.
}

// leaseEnd returns when this daemon's right to be home ends.
func (v *view) leaseEnd() time.Duration { return max(v.grantedLease, v.majorityLease) }

// shareKey returns a key that identifies the shares in force at now. Homes with the
// shares of another key may exceed their caps.
func (v *view) shareKey(now time.Duration) uint64 {
	key := 2 * v.shareVersion
	if now >= v.leaseEnd() && now < v.actingLease {
		key++
	}
	return key
}

// sharesEnd returns when the shares in force at now expire.
func (v *view) sharesEnd(now time.Duration) time.Duration {
	if now < v.leaseEnd() {
		return v.leaseEnd()
	}
	return v.actingLease
}

// hasFullShare reports whether this daemon is the only home of a group that it owns.
func (v *view) hasFullShare(id string) bool { return v.settled || v.fullBefore[id] || v.confirmed[id] }

// share returns this daemon's share of a group. order is the preference list of the
// group.
func (v *view) share(now time.Duration, self, id string, order []Member) lease.Share {
	rank := rankOf(order, self)
	switch {
	case rank < 0:
		return lease.None
	case now >= v.leaseEnd():
		if now < v.actingLease {
			return lease.Acting
		}
		return lease.None
	case rank == 0 && v.hasFullShare(id):
		return lease.Full
	case rank == 0 && v.membership.followsSettled():
		return lease.Reserved
	case rank <= actingRanks:
		// This includes a home after two unsettled epochs, because the home of
		// the epoch in between may still use the reserved share.
		return lease.Acting
	default:
		return lease.None
	}
}

// ownedGroups returns the IDs of the groups whose home is the member of that name, or
// none without a table.
func (v *view) ownedGroups(self string) []string {
	if v.table == nil {
		return nil
	}
	return v.table.ownedGroups(self)
}

// fullGroups returns the groups of which this daemon has the full share at now.
func (v *view) fullGroups(now time.Duration, self string) map[string]bool {
	if v.membership == nil || now >= v.leaseEnd() {
		return nil
	}
	groups := make(map[string]bool)
	for _, id := range v.ownedGroups(self) {
		if v.hasFullShare(id) {
			groups[id] = true
		}
	}
	return groups
}

// rankOf returns the index of the member of that name in order, or -1.
func rankOf(order []Member, name string) int {
	for i, m := range order {
		if m.Name() == name {
			return i
		}
	}
	return -1
}
