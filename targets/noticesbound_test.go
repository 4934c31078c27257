package targets

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock/clocktest"
)

// Guards against notices of unknown daemons that take memory without a bound, or that
// keep out those of others after they have expired.
func TestNoticesOfOthersAreKeptWithinABound(t *testing.T) {
	c := clocktest.New()
	n := NewNotices(c)
	merge := func(from, to uint64) {
		for target := from; target < to; target++ {
			n.Merge([]SharedNotice{NewSharedNotice(target, NewNotice(Leaving()))})
		}
	}
	merge(0, 2*maxStates)
	kept := len(n.states)
	c.Advance(leavingTTL + time.Second)
	merge(3*maxStates, 3*maxStates+1)
	if diff := cmp.Diff([]int{maxStates, 1}, []int{kept, len(n.states)}); diff != "" {
		t.Errorf("targets with notices; after these have expired (-want +got):\n%s", diff)
	}
}
