package peer

import (
	"net/http/httptest"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/peer/peerpb"
)

// Guards against messages that take more memory when they are decoded than is admitted
// for them.
func TestDecodingAllocationIsABound(t *testing.T) {
	const n = 20_000
	members := make([]*peerpb.Member, n)
	for i := range members {
		members[i] = &peerpb.Member{Name: "d"}
	}
	for name, c := range map[string]struct {
		method string
		in     proto.Message
	}{
		"empty items":   {"Relay", &peerpb.RelayRequest{Items: make([]*peerpb.RelayItem, n)}},
		"body":          {"Relay", &peerpb.RelayRequest{Body: make([]byte, n)}},
		"empty members": {"Sync", &peerpb.SyncRequest{Membership: &peerpb.Membership{Members: make([]*peerpb.Member, n)}}},
		"members":       {"Sync", &peerpb.SyncRequest{Membership: &peerpb.Membership{Members: members}}},
		"empty groups":  {"Release", &peerpb.ReleaseRequest{Groups: make([]string, n)}},
		"empty strikes": {"Strike", &peerpb.StrikeRequest{Strikes: make([]*peerpb.CrashStrike, n)}},
	} {
		body, err := proto.Marshal(c.in)
		if err != nil {
			t.Fatal(err)
		}
		admitted := decodingAllocation(httptest.NewRequest("POST", "/twirp/medlaryard.peer.Peer/"+c.method, nil), body)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err = proto.Unmarshal(body, c.in.ProtoReflect().New().Interface())
		runtime.ReadMemStats(&after)
		if err != nil {
			t.Fatal(err)
		}
		if allocated := int(after.TotalAlloc-before.TotalAlloc) + readAllocation*len(body); allocated > admitted {
			t.Errorf("%s: decoding %d bytes allocates %d bytes, %d are admitted", name, len(body), allocated, admitted)
		}
		t.Logf("%s: %d bytes, %d allocated, %d admitted", name, len(body), after.TotalAlloc-before.TotalAlloc, admitted)
	}
}
