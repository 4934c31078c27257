package daemon

import (
	"slices"
	"testing"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
)

// Guards against shares that count as applied before the homes have them, and
// against ones that changed after they were read.
func TestSharesAreAppliedBeforeTheReport(t *testing.T) {
	var steps []string
	key := uint64(7)
	source := shareSource{
		key: func() uint64 {
			steps = append(steps, "key")
			return key
		},
		share: func(catalogue.Group) lease.Share {
			steps = append(steps, "share")
			key = 8 // Another state from now on.
			return lease.Full
		},
		applied: func(k uint64) {
			if k != 7 {
				t.Errorf("key %d is reported", k)
			}
			steps = append(steps, "applied")
		},
	}
	source.pass(make([]catalogue.Group, 1), func(shares map[string]lease.Share) {
		if len(shares) != 1 {
			t.Errorf("shares %v", shares)
		}
		steps = append(steps, "apply")
	})
	if want := []string{"key", "share", "apply", "applied"}; !slices.Equal(steps, want) {
		t.Errorf("steps %q, want %q", steps, want)
	}
}

// Guards against a refresh that finds nothing changed and does not report, after
// which the homes may not send any more.
func TestRefreshReportsShares(t *testing.T) {
	d := &daemon{}
	reported := 0
	d.source = shareSource{
		key:     func() uint64 { return 1 },
		share:   func(catalogue.Group) lease.Share { return lease.None },
		applied: func(uint64) { reported++ },
	}
	d.view.Store(&view{})
	d.refreshShares(false)
	if reported != 1 {
		t.Errorf("%d reports", reported)
	}
}
