package daemon

import (
	"time"

	"medlaryard.example/medlaryard/vmlist"
)

// maxMissedPolls is the number of polls of the VM list that may fail before the last
// list counts as unknown.
const maxMissedPolls = 3

// vmLookup returns a function that looks up a member's VM by name in the VM list. It
// reports whether the VM is listed and whether the list is known. A list that is too
// old counts as unknown, and so does one without this daemon's own VM, which is wrong
// or belongs to other VMs.
func vmLookup(self string, interval time.Duration, list func() vmlist.List, boot func() time.Duration) func(string) (bool, bool) {
	return func(name string) (bool, bool) {
		l, now, maxAge := list(), boot(), maxMissedPolls*interval
		if own, _ := l.Listed(self, now, maxAge); !own {
			return false, false
		}
		return l.Listed(name, now, maxAge)
	}
}
