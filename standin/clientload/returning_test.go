package clientload

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// Guards against clients that come back as soon as they are closed, and thereby make
// the process allocate faster than the garbage is collected, or open more connections
// to targets than it has descriptors.
func TestReturningClients(t *testing.T) {
	binary := build(t)
	versions := make(map[string]uint64)
	for i := range 6000 {
		versions[fmt.Sprintf("%04x", i)] = 1
	}
	changes, err := proto.Marshal(&mirrorpb.ChangesRequest{Versions: versions})
	if err != nil {
		t.Fatal(err)
	}
	const whole, pieces, small = "Content-Length: 262144", "Transfer-Encoding: chunked", "Content-Length: 65536"
	for _, c := range []struct {
		name, port string
		load       load
	}{
		{"head of lines without a value, body without its end", "28104", post("/find/1", linesWithoutValue(), whole, body(bodyBytes))},
		{"body without its end", "28104", post("/find/1", "", whole, body(bodyBytes))},
		{"body in large pieces without its end", "28104", post("/find/1", "", pieces, chunked(bodyBytes, 16<<10))},
		{"large answers that are not read", "28104", readNothing},
		{"large heads, answers merged from many shards", "28104", post("/gather/1", linesWithoutValue(), "Content-Length: 10", body(11))},
		{"large bodies, answers merged from many shards", "28104", post("/gather/1", "", whole, body(bodyBytes+1))},
		{"answers merged from many shards", "28104", post("/gather/1", "", "Content-Length: 10", body(11))},
		{"listener of readiness", "28108", post("/api/readyz", linesWithoutValue(), small, body(64<<10))},
		{"listener of the directory", "28100", post("/api/resolve", linesWithoutValue(), small, body(64<<10))},
		{"listener of operators", "28106", post("/metrics", linesWithoutValue(), small, body(64<<10))},
		{"listener of peers", "27380", post("/twirp/medlaryard.mirror.Mirror/Changes", linesWithoutValue(), small, body(64<<10))},
		{"calls of peers with many versions", "27380", post("/twirp/medlaryard.mirror.Mirror/Changes", "Content-Type: application/protobuf\r\n", fmt.Sprintf("Content-Length: %d", len(changes)), string(changes))},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, binary, crowdMemoryMB, crowdFDs)
			n.meets(t, crowd{nodeIP + ":" + c.port, c.load}, crowdMemoryMB, crowdFDs-fileFDs)
		})
	}
}

// relayItems is the number of items in a call of a peer. An item takes two bytes encoded.
const relayItems = 1 << 19

// Guards against the same at a daemon of the product's own interface, and against a
// listener that ends when the process has no descriptors left.
func TestReturningClientsOfServe(t *testing.T) {
	binary := build(t)
	relay, err := proto.Marshal(&peerpb.RelayRequest{Items: make([]*peerpb.RelayItem, relayItems)})
	if err != nil {
		t.Fatal(err)
	}
	query := fmt.Sprintf(`{"id":"a","owner":"o","class":"idempotent","service":"s","route":"r","body":%q}`, strings.Repeat("a", 1<<20-200))
	for _, c := range []struct {
		name, port string
		load       load
		fds        int
	}{
		{"large queries", "28104", post("/v1/query", "", fmt.Sprintf("Content-Length: %d", len(query)), query), crowdFDs},
		{"calls of peers with many items", "27380", post("/twirp/medlaryard.peer.Peer/Relay", "Content-Type: application/protobuf\r\n", fmt.Sprintf("Content-Length: %d", len(relay)), string(relay)), crowdFDs},
		{"nothing, few descriptors", "28104", silent, 300},
		{"nothing to the listener of peers, few descriptors", "27380", silent, 300},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startServe(t, withDescriptors(t, binary, c.fds), *memoryMB)
			n.meets(t, crowd{nodeIP + ":" + c.port, c.load}, *memoryMB, c.fds-1)
		})
	}
}

// Guards against clients that send nothing and thereby keep others from a listener of
// serve that takes few connections.
func TestOperatorsAmongReturningClients(t *testing.T) {
	n := startServe(t, build(t), *memoryMB)
	n.address, n.usual = nodeIP+":28106", "/metrics"
	played := make(chan struct{})
	go func() {
		crowd{n.address, silentUntilClosed}.play()
		close(played)
	}()
	time.Sleep(crowdTime / 4)
	answered := n.request("operator")
	select {
	case <-played:
		t.Fatal("the clients have ended before the request was answered")
	default:
	}
	if !answered {
		t.Error("no request is answered while clients that send nothing return")
	}
	<-played
}

// withDescriptors returns a program that runs binary with a limit on its descriptors.
func withDescriptors(t *testing.T, binary string, n int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", n, binary)
	if err := os.WriteFile(path, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

// linesWithoutValue returns 15 KB of header lines with different names and no value.
func linesWithoutValue() string {
	var b strings.Builder
	for i := 0; b.Len() < 15<<10; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/26/26%26)
	}
	return b.String()
}
