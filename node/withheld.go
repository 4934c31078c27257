package node

import (
	"maps"
	"slices"
	"time"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/upgrade"
)

const (
	// withheldMemory is how long a version stays withheld after its last target was
	// listed.
	withheldMemory = time.Minute
	// completionMemory is how long other daemons are told that an order is completed,
	// which they may not be able to read any more.
	completionMemory = 5 * time.Second
)

// withheldVersion is a version that gets no requests because its last order ended without
// completion.
type withheldVersion struct {
	order    upgrade.OrderID // The zero value if it is not known.
	why      upgrade.Withholding
	listedAt time.Duration // Boot time at which a target of the version was last listed.
}

// completedOrder is an order whose version has replaced the others.
type completedOrder struct {
	order upgrade.OrderID
	at    time.Duration // Boot time at which this daemon learned of it.
}

// withheldVersions holds the withheld versions of one service.
type withheldVersions struct {
	versions  map[string]withheldVersion
	completed map[string]completedOrder // The last one of each version, while it has targets.
	// inForce holds the versions that served before the order and will if it is not
	// completed, with the boot times at which they were last listed.
	inForce map[string]time.Duration
	guessed bool // This daemon has listed them all at once, so they may not all be in force.
}

func newWithheldVersions() *withheldVersions {
	return &withheldVersions{versions: make(map[string]withheldVersion), completed: make(map[string]completedOrder), inForce: make(map[string]time.Duration)}
}

// begin records which versions are in force when a version is ordered, unless this is known
// from an earlier order: those whose targets were listed first. After a restart of this
// daemon, all are listed at once, and it is not known whether the ordered one is among them.
func (w *withheldVersions) begin(version string, listed map[string]time.Time, now time.Duration) {
	delete(w.versions, version)
	for v := range w.inForce {
		if has(listed, v) && !w.guessed {
			return
		}
	}
	var first time.Time
	earliest := make(map[string]time.Duration)
	for v, at := range listed {
		if has(w.versions, v) {
			continue
		}
		if first.IsZero() || at.Before(first) {
			first = at
			clear(earliest)
		}
		if at.Equal(first) {
			earliest[v] = now
		}
	}
	w.inForce, w.guessed = earliest, len(earliest) > 1
}

// versionsInForce returns the versions in force, or nil if they are not known for certain.
func (w *withheldVersions) versionsInForce() []string {
	if w.guessed {
		return nil
	}
	return slices.Sorted(maps.Keys(w.inForce))
}

// add withholds a version whose order has ended. It ignores what precedes a later end.
func (w *withheldVersions) add(version string, order upgrade.OrderID, why upgrade.Withholding, now time.Duration) {
	old, ok := w.versions[version]
	switch {
	case has(w.inForce, version) && !w.guessed:
		return
	case has(w.completed, version) && !w.completed[version].order.Before(order):
		return
	case ok && order.Before(old.order):
		return
	case ok && order == old.order && old.why == upgrade.Bad:
		why = upgrade.Bad
	}
	delete(w.inForce, version)
	w.versions[version] = withheldVersion{order: order, why: why, listedAt: now}
}

// complete records that a version has replaced the others, unless a later order has ended.
func (w *withheldVersions) complete(version string, order upgrade.OrderID, now time.Duration) {
	for _, c := range w.completed {
		if !c.order.Before(order) {
			return
		}
	}
	if v, ok := w.versions[version]; ok && order.Before(v.order) {
		return
	}
	delete(w.versions, version)
	w.completed[version] = completedOrder{order: order, at: now}
	w.inForce, w.guessed = map[string]time.Duration{version: now}, false
}

func has[V any](m map[string]V, key string) bool {
	_, ok := m[key]
	return ok
}

// expire forgets the versions that have had no targets for withheldMemory.
func (w *withheldVersions) expire(listed map[string]time.Time, now time.Duration) {
	for version := range w.inForce {
		if has(listed, version) {
			w.inForce[version] = now
		}
	}
	maps.DeleteFunc(w.inForce, func(_ string, at time.Duration) bool { return now-at > withheldMemory })
	for version, v := range w.versions {
		if has(listed, version) {
			v.listedAt = now
			w.versions[version] = v
		}
	}
	maps.DeleteFunc(w.versions, func(_ string, v withheldVersion) bool { return now-v.listedAt > withheldMemory })
	maps.DeleteFunc(w.completed, func(version string, _ completedOrder) bool {
		return !has(listed, version)
	})
}

// reasons returns why each version is withheld.
func (w *withheldVersions) reasons() map[string]upgrade.Withholding {
	if len(w.versions) == 0 {
		return nil
	}
	reasons := make(map[string]upgrade.Withholding, len(w.versions))
	for version, v := range w.versions {
		reasons[version] = v.why
	}
	return reasons
}

// messages returns how the latest orders of a service have ended, for the other daemons.
func (w *withheldVersions) messages(service string, now time.Duration) []*mirrorpb.MoveEvidence {
	var all []*mirrorpb.MoveEvidence
	for _, version := range slices.Sorted(maps.Keys(w.versions)) {
		v, end := w.versions[version], mirrorpb.OrderEnd_ORDER_END_UNDECIDED
		if v.why == upgrade.Bad {
			end = mirrorpb.OrderEnd_ORDER_END_ROLLED_BACK
		}
		all = append(all, encodeEnd(service, version, v.order, end))
	}
	for _, version := range slices.Sorted(maps.Keys(w.completed)) {
		if c := w.completed[version]; now-c.at < completionMemory {
			all = append(all, encodeEnd(service, version, c.order, mirrorpb.OrderEnd_ORDER_END_COMPLETED))
		}
	}
	return all
}

func encodeEnd(service, version string, order upgrade.OrderID, end mirrorpb.OrderEnd) *mirrorpb.MoveEvidence {
	return &mirrorpb.MoveEvidence{Service: service, Version: version, OrderEra: order.Era(), OrderRevision: order.Revision(), End: end}
}
