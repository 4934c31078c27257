package daemon

import (
	"slices"
	"testing"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
)

// Guards against confirming shares before the homes have them, and against confirming
// shares that changed after they were read.
func TestSharesAppliedBeforeConfirmation(t *testing.T) {
	var steps []string
	key := uint64(7)
	source := shareSource{
		key: func() uint64 {
			steps = append(steps, "key")
			return key
		},
		share: func(catalogue.Group) lease.Share {
			steps = append(steps, "share")
			key = 8 // The shares change from here on.
			return lease.Full
		},
		confirm: func(k uint64) {
			if k != 7 {
				t.Errorf("key %d is confirmed, want 7", k)
			}
			steps = append(steps, "applied")
		},
	}
	source.applyShares(make([]catalogue.Group, 1), func(shares map[string]lease.Share) {
		if len(shares) != 1 {
			t.Errorf("got shares %v, want 1 share", shares)
		}
		steps = append(steps, "apply")
	})
	if want := []string{"key", "share", "apply", "applied"}; !slices.Equal(steps, want) {
		t.Errorf("steps %q, want %q", steps, want)
	}
}

// Guards against a refresh that confirms nothing if no share changed. The homes would
// have to stop sending.
func TestRefreshConfirmsUnchangedShares(t *testing.T) {
	d := &daemon{}
	confirmed := 0
	d.source = shareSource{
		key:     func() uint64 { return 1 },
		share:   func(catalogue.Group) lease.Share { return lease.None },
		confirm: func(uint64) { confirmed++ },
	}
	d.view.Store(&view{})
	d.refreshShares(false)
	if confirmed != 1 {
		t.Errorf("%d confirmations, want 1", confirmed)
	}
}
