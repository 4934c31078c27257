package daemon

import (
	"time"

	"medlaryard.example/medlaryard/vmlist"
)

// maxMissedPolls is the number of readings of the VM list that may fail before
// the last list counts as unknown.
const maxMissedPolls = 3

// listed returns the lookup of a member's VM in a list that is young enough. A
// list without this daemon's own VM is wrong or belongs to other VMs, and counts
// as unknown.
func listed(self string, interval time.Duration, list func() vmlist.List, boot func() time.Duration) func(string) (bool, bool) {
	return func(name string) (bool, bool) {
		l, now, maxAge := list(), boot(), maxMissedPolls*interval
		if own, _ := l.Listed(self, now, maxAge); !own {
			return false, false
		}
		return l.Listed(name, now, maxAge)
	}
}
