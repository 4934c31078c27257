package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func newCandidates(domains, strong, weak int) []Candidate {
	var all []Candidate
	for d := range domains {
		for i := range strong + weak {
			capacity := 0.8
			if i >= strong {
				capacity = 0.2
			}
			all = append(all, NewCandidate(fmt.Sprintf("z%d-%d", d, i), fmt.Sprintf("z%d", d), "", capacity))
		}
	}
	return all
}

func sortedNames(cs []Candidate) []string {
	var names []string
	for _, c := range cs {
		names = append(names, c.name)
	}
	slices.Sort(names)
	return names
}

// Guards against a large fleet in which every daemon serves and gets too few
// connections to each target, and against weak VMs that serve alongside strong
// ones.
func TestSelectPrefersStrongVMs(t *testing.T) {
	none := func(string) bool { return false }
	want := []string{"z0-0", "z0-1", "z1-0", "z1-1", "z2-0", "z2-1", "z3-0", "z3-1"}
	if diff := cmp.Diff(want, sortedNames(Select(newCandidates(4, 2, 17), none))); diff != "" {
		t.Errorf("selected (-want +got):\n%s", diff)
	}
	if n := len(Select(newCandidates(4, 20, 0), none)); n != maxServing {
		t.Errorf("%d of 80 equal daemons serve, want %d", n, maxServing)
	}
	if n := len(Select(newCandidates(4, 2, 0), none)); n != 8 {
		t.Errorf("%d of 8 daemons serve, want all", n)
	}
}

// Guards against a failure domain that has no serving daemon after losses.
func TestSelectReplacesLostDaemons(t *testing.T) {
	lost := func(name string) bool { return name == "z0-0" || name == "z0-1" || name == "z1-0" }
	got := Select(newCandidates(4, 2, 17), lost)
	perDomain := make(map[string]int)
	for _, c := range got {
		perDomain[c.domain]++
		if lost(c.name) {
			t.Errorf("%s is selected although it is lost", c.name)
		}
	}
	if diff := cmp.Diff(map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2}, perDomain); diff != "" {
		t.Errorf("selected by failure domain (-want +got):\n%s", diff)
	}
}

// Guards against daemons that select differently because they list the registry
// in another order.
func TestSelectIgnoresRegistryOrder(t *testing.T) {
	none := func(string) bool { return false }
	all := newCandidates(3, 30, 0)
	want := Select(all, none)
	slices.Reverse(all)
	if diff := cmp.Diff(sortedNames(want), sortedNames(Select(all, none))); diff != "" {
		t.Errorf("selected (-want +got):\n%s", diff)
	}
}
