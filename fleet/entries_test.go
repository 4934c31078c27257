package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// Guards against a datagram that takes a hundred times its size once it is decoded, and against
// a usual one that is ignored.
func TestDecodableDatagrams(t *testing.T) {
	encoded := func(moves, strikes int) []byte {
		h := &mirrorpb.Heartbeat{Name: "a", Peer: "10.0.0.1:1", Front: "10.0.0.1:2", Versions: map[string]uint64{"a": 1}}
		for range moves {
			h.Moves = append(h.Moves, &mirrorpb.MoveEvidence{})
		}
		for i := range strikes {
			h.Strikes = append(h.Strikes, &peerpb.CrashStrike{Fingerprint: uint64(i)})
		}
		b, err := proto.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	usual := encoded(1, 1)
	var got []bool
	for _, b := range [][]byte{encoded(0, 0), encoded(50, 32), encoded(2000, 2000), encoded(32_000, 0), encoded(0, 5000), {0xff}, usual[:len(usual)-1]} {
		got = append(got, decodable(b))
	}
	if diff := cmp.Diff([]bool{true, true, true, false, false, false, false}, got); diff != "" {
		t.Errorf("none, usual, many, too many of each kind, malformed, cut off (-want +got):\n%s", diff)
	}
}
