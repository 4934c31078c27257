package vmlist_test

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/vmlist"
)

// Guards against reporting a VM as removed when the list is old or no list has been
// read.
func TestListed(t *testing.T) {
	list := vmlist.NewList([]vmlist.VM{
		vmlist.NewVM("vm-1", "10.0.0.1", "a", false), vmlist.NewVM("vm-2", "10.0.0.2", "a", true),
	}, 10*time.Second)
	for _, test := range []struct {
		name          string
		list          vmlist.List
		vm            string
		now           time.Duration
		listed, known bool
	}{
		{"live", list, "vm-1", 10 * time.Second, true, true},
		{"leaving, still runs", list, "vm-2", 13 * time.Second, true, true},
		{"dropped", list, "vm-3", 13 * time.Second, false, true},
		{"old", list, "vm-3", 13*time.Second + 1, false, false},
		{"never read", vmlist.List{}, "vm-3", 0, false, false},
		{"empty reply", vmlist.NewList(nil, 0), "vm-3", 0, false, true},
	} {
		listed, known := test.list.Listed(test.vm, test.now, 3*time.Second)
		if listed != test.listed || known != test.known {
			t.Errorf("%s: listed %v, known %v, want %v, %v", test.name, listed, known, test.listed, test.known)
		}
	}
}
