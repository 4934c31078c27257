package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

// Guards against heartbeats of unknown senders that take memory without a bound, or
// replace the daemons that are known.
func TestHeartbeatsAreKeptWithinABound(t *testing.T) {
	const size = 64 << 10
	c := clocktest.New()
	f := New(nil, func() *mirrorpb.Heartbeat { return &mirrorpb.Heartbeat{} }, Clock(c))
	send := func(i int) {
		f.handleHeartbeat(&mirrorpb.Heartbeat{Name: fmt.Sprint(i), Peer: fmt.Sprintf("10.0.0.%d:7", i)}, size)
	}
	for i := range 100 {
		send(i)
	}
	var got []int
	got = append(got, len(f.AliveMembers()))
	c.Advance(LostAfter + time.Millisecond)
	send(0)
	send(200)
	got = append(got, len(f.AliveMembers()), f.bytes)
	if diff := cmp.Diff([]int{maxMemberBytes / size, 2, 2 * size}, got); diff != "" {
		t.Errorf("daemons that are kept; after the others are lost; bytes (-want +got):\n%s", diff)
	}
}
