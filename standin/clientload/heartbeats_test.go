package clientload

import (
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

const (
	// heartbeatSenders is the number of daemons that the heartbeats name.
	heartbeatSenders = 20_000
	// heartbeatKinds is the number of kinds of which each heartbeat states a version.
	heartbeatKinds = 300
	// heartbeatBurst is the number of heartbeats between two pauses, so that the system
	// does not drop them.
	heartbeatBurst = 100
)

// Guards against datagrams of unknown senders to the peers' port by which the process
// exceeds the memory of its VM.
func TestHeartbeatsOfUnknownSenders(t *testing.T) {
	n := startNode(t, build(t), crowdMemoryMB, crowdFDs)
	conn, err := net.Dial("udp4", nodeIP+":27380")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	versions := make(map[string]uint64)
	for i := range heartbeatKinds {
		versions[fmt.Sprintf("kind-with-a-long-name-of-forty-bytes-%04d", i)] = 1
	}
	for i := range heartbeatSenders {
		h := &mirrorpb.Heartbeat{
			Name: fmt.Sprintf("unknown-%d", i), Zone: "a", Front: "10.0.0.1:80", Serving: true, Versions: versions,
			Peer: fmt.Sprintf("127.9.%d.%d:80", i>>8, i&0xff),
		}
		b, err := proto.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(b); err != nil {
			t.Logf("datagram %d: %v", i, err)
		}
		if i%heartbeatBurst == heartbeatBurst-1 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	if !n.serves() {
		t.Error("no usual request is answered afterwards")
	}
	memory := n.peakMemory(t)
	t.Logf("%d MB resident", memory/1e6)
	if limit := crowdMemoryMB * 1_000_000; memory > limit {
		t.Errorf("%d bytes resident, the bound is %d", memory, limit)
	}
}
