package targets

import (
	"time"

	"medlaryard.example/medlaryard/upgrade"
)

// slowAnswerFactor is the multiple of the median latency above which an answer
// counts as bad for its version.
const slowAnswerFactor = 3

// versionMove divides the calls of a group between the versions of its targets, during
// one order. The group's lock guards it.
type versionMove struct {
	division  upgrade.Division
	credits   map[string]float64 // By route.
	collector *upgrade.Collector
	// hasReference is set once a target was listed of a version that the ordered one
	// replaces. Without one there is nothing to compare with, and nothing to protect.
	hasReference bool
	// onlyWithheld is set while no target is listed but those of versions that get no
	// requests.
	onlyWithheld bool
}

func newVersionMove(d upgrade.Division) *versionMove {
	return &versionMove{division: d, credits: make(map[string]float64), collector: upgrade.NewCollector()}
}

// assignToNew decides whether a call of a route goes to the new version. While the
// share is below 1, resends, retries and hedges do not, so that the share stays
// exact.
func (m *versionMove) assignToNew(purpose Purpose, route string) bool {
	if !m.division.Ordered() {
		return false
	}
	share := m.division.Shares().Of(route)
	if share >= 1 || share > 0 && !m.hasReference {
		return true
	}
	if purpose != First {
		return false
	}
	route = m.collector.Route(route)
	m.credits[route] += share
	if m.credits[route] < 1 {
		return false
	}
	m.credits[route]--
	return true
}

// permits reports whether a target of the given version may get a call.
func (m *versionMove) permits(version string, toNewVersion bool) bool {
	switch m.division.Withholds(version) {
	case upgrade.Bad:
		return false
	case upgrade.Undecided:
		return m.onlyWithheld
	}
	return toNewVersion == m.division.IsNew(version)
}

// isReference reports whether the answers of a version are those with which the
// new version is compared.
func (m *versionMove) isReference(version string) bool {
	if m.division.IsNew(version) {
		return m.division.Shares().Of("") >= 1
	}
	return m.division.Withholds(version) == ""
}

// record counts the end of a call to a version. The answers of versions that get no
// requests are left out.
func (m *versionMove) record(version, route string, bad bool) {
	if m.division.Withholds(version) == "" {
		m.collector.Record(route, m.division.IsNew(version), bad)
	}
}

// observeTargets records which versions are listed.
func (m *versionMove) observeTargets(targets []*Target) {
	m.onlyWithheld = true
	for _, t := range targets {
		if m.division.Withholds(t.entry.version) != "" {
			continue
		}
		m.onlyWithheld = false
		if !m.division.IsNew(t.entry.version) {
			m.hasReference = true
		}
	}
}

// Divide divides the calls between the versions of the targets. Evidence is kept for one
// order.
func (g *Group) Divide(d upgrade.Division) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case d.PermitsAll():
		g.move = nil
		return
	case g.move == nil || g.move.division.Order() != d.Order():
		g.move = newVersionMove(d)
	default:
		g.move.division = d
	}
	g.move.observeTargets(g.targets)
}

// Versions returns the versions of the listed targets, with the time at which the first of
// these targets was listed.
func (g *Group) Versions() map[string]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	versions := make(map[string]time.Time)
	for _, t := range g.targets {
		if first, ok := versions[t.entry.version]; !ok || t.listedAt.Before(first) {
			versions[t.entry.version] = t.listedAt
		}
	}
	return versions
}

// Capacity returns the slots of the targets that accept requests now, those of the given
// version and those of the others.
func (g *Group) Capacity(version string) upgrade.Capacity {
	g.mu.Lock()
	defer g.mu.Unlock()
	oldSlots, newSlots := 0, 0
	for _, t := range g.targets {
		switch {
		case !t.available():
		case t.entry.version == version:
			newSlots += t.entry.slots
		case g.move == nil || g.move.division.Withholds(t.entry.version) == "":
			oldSlots += t.entry.slots
		}
	}
	return upgrade.NewCapacity(oldSlots, newSlots)
}

// Evidence returns what this daemon has seen of an order, or nothing if the calls are not
// divided by it. Calls that have taken too long already count as bad answers, so that a
// version which never answers shows before its calls end.
func (g *Group) Evidence(order upgrade.OrderID) upgrade.Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.move == nil || g.move.division.Order() != order {
		return nil
	}
	now := g.clock.Now()
	for _, t := range g.targets {
		for _, c := range t.calls {
			if c.lowerBound(now) > slowAnswerFactor {
				g.judge(c, true)
			}
		}
	}
	return g.move.collector.Evidence()
}
