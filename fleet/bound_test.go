package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

// Guards against heartbeats of unknown senders that take memory without a bound, or
// replace the daemons that are registered.
func TestMembersAreKeptWithinABound(t *testing.T) {
	const size, registered = 64 << 10, 40
	c := clocktest.New()
	f := New(nil, func() *mirrorpb.Heartbeat { return &mirrorpb.Heartbeat{} }, Clock(c),
		Registered(func(peer string) bool { return peer < fmt.Sprintf("10.0.0.%03d:7", registered) }))
	send := func(i, zone int) {
		f.handleHeartbeat(&mirrorpb.Heartbeat{
			Name: fmt.Sprint(i), Peer: fmt.Sprintf("10.0.0.%03d:7", i), Zone: strings.Repeat("z", zone),
			Versions: map[string]uint64{"kind": 1}, Moves: []*mirrorpb.MoveEvidence{{}},
		})
	}
	for _, zone := range []int{1, size} { // The second round is of senders that are known.
		for i := 199; i >= 0; i-- {
			send(i, zone)
		}
	}
	kept, details := make(map[string]bool), 0
	for _, m := range f.AliveMembers() {
		kept[m.Name()] = true
		details += len(m.Versions()) + len(m.Moves())
	}
	missing := 0
	for i := range registered {
		if !kept[fmt.Sprint(i)] {
			missing++
		}
	}
	if diff := cmp.Diff([]any{true, 0, 0}, []any{f.bytes <= maxMemberBytes, missing, details}); diff != "" {
		t.Errorf("members are within the bound; registered ones that are missing; details that are kept (-want +got):\n%s", diff)
	}
}
