package fleet

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

// Guards against a lost contact with the store that others notice only by the
// next heartbeat.
func TestMemberStoreAgeBetweenHeartbeats(t *testing.T) {
	c := clocktest.New()
	f := New(nil, func() *mirrorpb.Heartbeat { return &mirrorpb.Heartbeat{} }, Clock(c))
	f.handleHeartbeat(&mirrorpb.Heartbeat{Name: "d1", Peer: "10.0.0.1:7", StoreAgeMs: 300})
	c.Advance(time.Second)
	if got, want := f.AliveMembers()[0].StoreAgeAt(c.Now()), 1300*time.Millisecond; got != want {
		t.Errorf("age of the contact %v, want %v", got, want)
	}
}
