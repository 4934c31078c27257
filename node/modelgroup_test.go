package node

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"medlaryard.example/medlaryard/upgrade"
)

// modelGroup is the group of a service at a daemon. It divides requests as targets.Group does.
type modelGroup struct {
	model        *ordersModel
	since        time.Duration
	division     upgrade.Division
	credit       float64
	hasReference bool
	collector    *upgrade.Collector
}

func (g *modelGroup) divide(d upgrade.Division) {
	if g.division.Order() != d.Order() {
		g.credit, g.hasReference, g.collector = 0, false, upgrade.NewCollector()
	}
	g.division = d
}

func (g *modelGroup) seam() moveGroup {
	return moveGroup{
		evidence: func(order upgrade.OrderID) upgrade.Evidence {
			if g.division.Order() != order {
				return nil
			}
			return g.collector.Evidence()
		},
		capacity: func(version string) upgrade.Capacity {
			oldSlots, newSlots := 0, 0
			for v := range g.model.versions {
				if v == version {
					newSlots += 6
				} else if g.division.Withholds(v) == "" {
					oldSlots += 6
				}
			}
			return upgrade.NewCapacity(oldSlots, newSlots)
		},
		versions: func() map[string]time.Time {
			listed := make(map[string]time.Time)
			for v, state := range g.model.versions {
				listed[v] = time.Unix(0, 0).Add(max(state.listedAt, g.since))
			}
			return listed
		},
		divide: g.divide,
	}
}

// choose returns the version that gets the next request, or "".
func (g *modelGroup) choose(rng *rand.Rand) string {
	var old, undecided []string
	newListed := ""
	for _, v := range slices.Sorted(maps.Keys(g.model.versions)) {
		switch {
		case g.division.IsNew(v):
			newListed = v
		case g.division.Withholds(v) == "":
			old = append(old, v)
			g.hasReference = true
		case g.division.Withholds(v) == upgrade.Undecided:
			undecided = append(undecided, v)
		}
	}
	share := g.division.Shares().Of("r")
	if newListed != "" && share > 0 && !g.hasReference {
		return newListed
	}
	if g.credit += share; newListed != "" && g.credit >= 1 {
		g.credit--
		return newListed
	}
	if len(old) == 0 && newListed == "" {
		old = undecided
	}
	if len(old) == 0 {
		return ""
	}
	return old[rng.IntN(len(old))]
}
