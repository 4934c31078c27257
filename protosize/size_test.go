package protosize

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// Guards against messages that take more memory when they are decoded than is admitted
// for them.
func TestOfCallIsABound(t *testing.T) {
	const n = 20_000
	members := make([]*peerpb.Member, n)
	for i := range members {
		members[i] = &peerpb.Member{Name: "d"}
	}
	versions := make(map[string]uint64, n)
	for i := range n {
		versions[fmt.Sprintf("%04x", i)] = 1
	}
	for name, c := range map[string]struct {
		method string
		in     proto.Message
	}{
		"empty items":   {"peer.Peer/Relay", &peerpb.RelayRequest{Items: make([]*peerpb.RelayItem, n)}},
		"body":          {"peer.Peer/Relay", &peerpb.RelayRequest{Body: make([]byte, n)}},
		"empty members": {"peer.Peer/Sync", &peerpb.SyncRequest{Membership: &peerpb.Membership{Members: make([]*peerpb.Member, n)}}},
		"members":       {"peer.Peer/Sync", &peerpb.SyncRequest{Membership: &peerpb.Membership{Members: members}}},
		"empty groups":  {"peer.Peer/Release", &peerpb.ReleaseRequest{Groups: make([]string, n)}},
		"versions":      {"mirror.Mirror/Changes", &mirrorpb.ChangesRequest{Versions: versions}},
		"empty strikes": {"peer.Peer/Strike", &peerpb.StrikeRequest{Strikes: make([]*peerpb.CrashStrike, n)}},
	} {
		body, err := proto.Marshal(c.in)
		if err != nil {
			t.Fatal(err)
		}
		admitted := OfCall(httptest.NewRequest("POST", "/twirp/medlaryard."+c.method, nil), body)
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
	}
}
