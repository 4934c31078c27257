package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func estate(zones, strong, weak int) []Candidate {
	var all []Candidate
	for z := range zones {
		for i := range strong + weak {
			capacity := 0.8
			if i >= strong {
				capacity = 0.2
			}
			all = append(all, NewCandidate(fmt.Sprintf("z%d-%d", z, i), fmt.Sprintf("z%d", z), "", capacity))
		}
	}
	return all
}

func sorted(cs []Candidate) []string {
	var names []string
	for _, c := range cs {
		names = append(names, c.name)
	}
	slices.Sort(names)
	return names
}

// Guards against daemons that take too few connections to each target because
// all of a large fleet serve, and against weak VMs that serve beside strong ones.
func TestStrongDaemonsServe(t *testing.T) {
	none := func(string) bool { return false }
	want := []string{"z0-0", "z0-1", "z1-0", "z1-1", "z2-0", "z2-1", "z3-0", "z3-1"}
	if diff := cmp.Diff(want, sorted(Select(estate(4, 2, 17), none))); diff != "" {
		t.Errorf("selected (-want +got):\n%s", diff)
	}
	if n := len(Select(estate(4, 20, 0), none)); n != maxServing {
		t.Errorf("%d of 80 equal daemons serve, want %d", n, maxServing)
	}
	if n := len(Select(estate(4, 2, 0), none)); n != 8 {
		t.Errorf("%d of 8 daemons serve, want all", n)
	}
}

// Guards against a failure domain without a serving daemon after losses.
func TestLostDaemonsAreReplaced(t *testing.T) {
	lost := func(name string) bool { return name == "z0-0" || name == "z0-1" || name == "z1-0" }
	got := Select(estate(4, 2, 17), lost)
	perZone := make(map[string]int)
	for _, c := range got {
		perZone[c.zone]++
		if lost(c.name) {
			t.Errorf("%s is selected although it is lost", c.name)
		}
	}
	if diff := cmp.Diff(map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2}, perZone); diff != "" {
		t.Errorf("selected by failure domain (-want +got):\n%s", diff)
	}
}

// Guards against daemons that disagree because they list the registry in
// another order.
func TestSelectionDoesNotDependOnOrder(t *testing.T) {
	none := func(string) bool { return false }
	all := estate(3, 30, 0)
	want := Select(all, none)
	slices.Reverse(all)
	if diff := cmp.Diff(sorted(want), sorted(Select(all, none))); diff != "" {
		t.Errorf("selected (-want +got):\n%s", diff)
	}
}
