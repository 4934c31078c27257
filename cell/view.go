package cell

import (
	"time"

	"medlaryard.example/medlaryard/lease"
)

// view is what this daemon is entitled to: the epoch it has adopted and the
// leases that it holds. Times are readings of clock.Clock.Boot.
type view struct {
	m        *membership
	table    *table          // Nil while the catalogue of the epoch is missing.
	settled  bool            // The keeper said that no earlier home remains.
	recorded bool            // The store has that too, so the next base is this epoch's members.
	kept     map[string]bool // Groups that this daemon had in full before the epoch.
	granted  map[string]bool // Groups whose only earlier home confirmed release.
	released uint64          // Newest epoch for which all lost homes have stopped.
	stopping int             // Release calls to the homes that have not returned.
	lease    time.Duration   // End of the lease that the keeper granted.
	still    time.Duration   // End of the lease that a majority gave.
	minor    time.Duration   // End of the right to act while a minority is reachable.
	stamp    uint64          // Grows when shares got smaller while no lease was held.
}

// live is the end of the time in which this daemon may be home.
func (v *view) live() time.Duration { return max(v.lease, v.still) }

// key identifies the shares that are in force at now. Homes that were given the
// shares of another key may hold too much.
func (v *view) key(now time.Duration) uint64 {
	key := 2 * v.stamp
	if now >= v.live() && now < v.minor {
		key++
	}
	return key
}

// end is when the shares in force at now end.
func (v *view) end(now time.Duration) time.Duration {
	if now < v.live() {
		return v.live()
	}
	return v.minor
}

// full reports whether this daemon is the only home of a group that it owns.
func (v *view) full(id string) bool { return v.settled || v.kept[id] || v.granted[id] }

// share returns the terms for a group whose candidates are order.
func (v *view) share(now time.Duration, self, id string, order []Member) lease.Share {
	rank := rankOf(order, self)
	switch {
	case rank < 0:
		return lease.None
	case now >= v.live():
		if now < v.minor {
			return lease.Acting
		}
		return lease.None
	case rank == 0 && v.full(id):
		return lease.Full
	case rank == 0 && v.m.direct():
		return lease.Reserved
	case rank <= actingRanks:
		// A home after two unsettled epochs also lands here: the home of the
		// epoch between may still use the reserved share.
		return lease.Acting
	default:
		return lease.None
	}
}

// owned returns the groups whose home is the member of that name.
func (v *view) owned(self string) []string {
	if v.table == nil {
		return nil
	}
	return v.table.owned(self)
}

// fullGroups returns the groups that this daemon has in full at now.
func (v *view) fullGroups(now time.Duration, self string) map[string]bool {
	if v.m == nil || now >= v.live() {
		return nil
	}
	groups := make(map[string]bool)
	for _, id := range v.owned(self) {
		if v.full(id) {
			groups[id] = true
		}
	}
	return groups
}

func rankOf(order []Member, name string) int {
	for i, m := range order {
		if m.Name() == name {
			return i
		}
	}
	return -1
}
