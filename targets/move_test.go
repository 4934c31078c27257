package targets_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/standin/shards"
	"medlaryard.example/medlaryard/targets"
	"medlaryard.example/medlaryard/upgrade"
)

// Guards against evidence of an order that comes from calls of an earlier one for the same
// version, also if they are answered later.
func TestGroupEvidenceOfOneOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, behaviour(), targets.Version("v1"))
		defer f.close()
		f.addTarget(behaviour(shards.Failing(1)), targets.Version("v2"))
		f.group.Update(f.entries)
		first, second := upgrade.NewOrderID(0, 1), upgrade.NewOrderID(0, 2)
		f.group.Divide(upgrade.NewDivision(first, "v2", upgrade.EqualShare(0.5)))
		for i := range 10 {
			f.send(fmt.Sprintf("q%d", i), true)
		}
		results := make(chan *targets.Call, 1)
		late := targets.NewRequest("late", "GET", "/p/late", "h", nil, nil, true, clock.System{}.Boot()+time.Hour)
		if !f.group.Submit(targets.NewCall(late, f.routeLatency, results)) {
			t.Fatal("the call is not accepted")
		}
		f.group.Divide(upgrade.NewDivision(second, "v2", upgrade.EqualShare(0)))
		<-results
		got := []int{f.group.Evidence(second).Total().Old().Requests(), f.group.Evidence(second).Total().New().Requests(), len(f.group.Evidence(first))}
		if diff := cmp.Diff([]int{0, 0, 0}, got); diff != "" {
			t.Errorf("old and new requests of the second order, routes of the first (-want +got):\n%s", diff)
		}
	})
}

// Guards against requests at a version whose order was rolled back, or ended while it ran:
// as the old version of a later order, and after the order was deleted.
func TestGroupWithheldVersions(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []string // Of the targets.
		division upgrade.Division
		want     []int // Requests of 20 at each target.
	}{
		{"rolled back, later order", []string{"v1", "v2", "v3"}, withholding(upgrade.NewDivision(upgrade.NewOrderID(0, 2), "v3", upgrade.EqualShare(0.25)), upgrade.Bad), []int{15, 0, 5}},
		{"undecided, later order", []string{"v1", "v2", "v3"}, withholding(upgrade.NewDivision(upgrade.NewOrderID(0, 2), "v3", upgrade.EqualShare(0.25)), upgrade.Undecided), []int{15, 0, 5}},
		{"rolled back, no order", []string{"v1", "v2"}, withholding(upgrade.Division{}, upgrade.Bad), []int{20, 0}},
		{"undecided, no order", []string{"v1", "v2"}, withholding(upgrade.Division{}, upgrade.Undecided), []int{20, 0}},
		{"undecided, nothing else is left", []string{"v2"}, withholding(upgrade.Division{}, upgrade.Undecided), []int{20}},
		{"rolled back, nothing else is left", []string{"v2"}, withholding(upgrade.Division{}, upgrade.Bad), []int{0}},
		{"back to the version in force", []string{"v1", "v2"}, withholding(upgrade.NewDivision(upgrade.NewOrderID(0, 2), "v1", upgrade.EqualShare(0.1)), upgrade.Undecided), []int{20, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(1, behaviour(), targets.Version(c.versions[0]))
				defer f.close()
				for _, v := range c.versions[1:] {
					f.addTarget(behaviour(), targets.Version(v))
				}
				f.group.Update(f.entries)
				f.group.Divide(c.division)
				for i := range 20 {
					f.send(fmt.Sprintf("q%d", i), true)
				}
				var got []int
				for _, target := range f.targets {
					got = append(got, len(target.Runs()))
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("requests at each target (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// withholding returns d with the version v2 withheld.
func withholding(d upgrade.Division, why upgrade.Withholding) upgrade.Division {
	return d.Without(map[string]upgrade.Withholding{"v2": why})
}
