package clientload

import (
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/peer/peerpb"
)

const (
	// heartbeatSenders is the number of daemons that the heartbeats name, and
	// detailedSenders the same for heartbeats of heartbeatBytes.
	heartbeatSenders = 20_000
	detailedSenders  = 2000
	// heartbeatKinds is the number of kinds of which a heartbeat states a version.
	heartbeatKinds = 300
	// heartbeatBytes is the size that the details of a heartbeat approach. A datagram has
	// at most 64 KiB.
	heartbeatBytes = 60 << 10
	// heartbeatBurst is the number of heartbeats between two pauses, so that the system
	// does not drop them.
	heartbeatBurst = 100
)

// Guards against datagrams of unknown senders to the peers' port by which the process
// exceeds the memory of its VM.
func TestHeartbeatsOfUnknownSenders(t *testing.T) {
	n := startNode(t, build(t), crowdMemoryMB, crowdFDs)
	versions := make(map[string]uint64)
	for i := range heartbeatKinds {
		versions[fmt.Sprintf("kind-with-a-long-name-of-forty-bytes-%04d", i)] = 1
	}
	n.survives(t, func() {
		sendHeartbeats(t, heartbeatSenders, func(h *mirrorpb.Heartbeat, _ int) { h.Versions = versions })
	}, crowdMemoryMB, crowdFDs-fileFDs)
}

// Guards against the same by senders whose heartbeats are small at first, and by each
// kind of detail.
func TestHeartbeatsThatGrow(t *testing.T) {
	binary := build(t)
	versions := make(map[string]uint64)
	for i := range heartbeatBytes / 48 {
		versions[fmt.Sprintf("kind-with-a-long-name-of-forty-bytes-%04d", i)] = 1
	}
	for _, c := range []struct {
		name    string
		details func(h *mirrorpb.Heartbeat, sender int)
	}{
		{"versions", func(h *mirrorpb.Heartbeat, _ int) { h.Versions = versions }},
		{"evidence of moves", func(h *mirrorpb.Heartbeat, sender int) {
			for i := range heartbeatBytes / 26 {
				h.Moves = append(h.Moves, &mirrorpb.MoveEvidence{Service: fmt.Sprintf("s-%d-%d", sender, i), Version: "v", OrderRevision: 1})
			}
		}},
		{"empty evidence of moves", func(h *mirrorpb.Heartbeat, _ int) {
			for range heartbeatBytes / 2 {
				h.Moves = append(h.Moves, &mirrorpb.MoveEvidence{}) // Named by no order.
			}
		}},
		{"requests that crash targets", func(h *mirrorpb.Heartbeat, sender int) {
			for i := range heartbeatBytes / 13 {
				h.Strikes = append(h.Strikes, &peerpb.CrashStrike{Fingerprint: uint64(sender*heartbeatBytes + i), Crashes: 1})
			}
		}},
		{"notices of targets", func(h *mirrorpb.Heartbeat, sender int) {
			for i := range heartbeatBytes / 13 {
				h.Notices = append(h.Notices, &mirrorpb.TargetNotice{Target: uint64(sender*heartbeatBytes + i), Leaving: true})
			}
		}},
		{"failures of targets", func(h *mirrorpb.Heartbeat, sender int) {
			h.Reports = &mirrorpb.TargetReports{First: 1}
			for i := range heartbeatBytes / 13 {
				h.Reports.Reports = append(h.Reports.Reports, &mirrorpb.TargetReport{Target: uint64(sender*heartbeatBytes + i), Tenths: 9})
			}
		}},
		{"a long name", func(h *mirrorpb.Heartbeat, _ int) { h.Zone = body(heartbeatBytes) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, binary, crowdMemoryMB, crowdFDs)
			n.survives(t, func() {
				sendHeartbeats(t, detailedSenders, func(*mirrorpb.Heartbeat, int) {})
				sendHeartbeats(t, detailedSenders, c.details)
			}, crowdMemoryMB, crowdFDs-fileFDs)
		})
	}
}

// sendHeartbeats sends one heartbeat of each sender, with the given details.
func sendHeartbeats(t *testing.T, senders int, details func(h *mirrorpb.Heartbeat, sender int)) {
	t.Helper()
	conn, err := net.Dial("udp4", nodeIP+":27380")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for i := range senders {
		h := &mirrorpb.Heartbeat{
			Name: fmt.Sprintf("unknown-%d", i), Zone: "a", Front: "10.0.0.1:80", Serving: true,
			Peer: fmt.Sprintf("127.9.%d.%d:80", i>>8, i&0xff),
		}
		details(h, i)
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
}
