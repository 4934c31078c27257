package clientload

import (
	"flag"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The connections and the limits of the tests. The flags change them for
// measurements by hand.
var (
	connections = flag.Int("connections", 300, "connections of each client load")
	memoryMB    = flag.Int("memory-mb", 80, "memory of the VM, which bounds the resident memory")
	maxFDs      = flag.Int("max-fds", 1000, "descriptors of the process")
)

// silentMaxFDs is the descriptor limit for connections that send nothing. Fewer
// descriptors than connections remain for clients.
const silentMaxFDs = 400

// fileFDs is the number of descriptors that the platform reserves for files.
const fileFDs = 200

// Guards against clients that end the process, exceed the memory of its VM or take
// all of its descriptors, so that usual requests are no longer served.
func TestClientLoad(t *testing.T) {
	binary := build(t)
	const whole, pieces = "Content-Length: 262144", "Transfer-Encoding: chunked"
	for _, c := range []struct {
		name   string
		load   load
		maxFDs int
	}{
		{"head of short lines, body without its end", post("/find/1", shortLines(), whole, body(bodyBytes)), *maxFDs},
		{"head of unusual lines, body without its end", post("/find/1", unusualLines(), whole, body(bodyBytes)), *maxFDs},
		{"body without its end", post("/find/1", "", whole, body(bodyBytes)), *maxFDs},
		{"body in large pieces without its end", post("/find/1", "", pieces, chunked(bodyBytes, 16<<10)), *maxFDs},
		{"body in small pieces without its end", post("/find/1", "", pieces, chunked(bodyBytes, 5)), *maxFDs},
		{"no body", post("/find/1", "", whole, ""), *maxFDs},
		{"head of short lines, no body", post("/find/1", shortLines(), whole, ""), *maxFDs},
		{"endless header lines", endless(true, longLine()), *maxFDs},
		{"endless short header lines", endless(true, "a:b\r\n"), *maxFDs},
		{"endless empty lines", endless(false, "\r\n"), *maxFDs},
		{"large answers that are not read", readNothing, *maxFDs},
		{"nothing", silent, min(silentMaxFDs, *maxFDs)},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, binary, *memoryMB, c.maxFDs)
			n.check(t, c.load, c.maxFDs-fileFDs)
		})
	}
}

// Guards against the same at a daemon of the product's own interface, whose bodies
// may be larger. Its number of connections is fixed in the code.
func TestClientLoadOfServe(t *testing.T) {
	binary := build(t)
	const size, path = 1 << 20, "/v1/query"
	for _, c := range []struct {
		name string
		load load
	}{
		{"body without its end", post(path, "", "Content-Length: 1048576", body(size))},
		{"body in pieces without its end", post(path, "", "Transfer-Encoding: chunked", chunked(size, 16<<10))},
		{"endless header lines", endless(true, longLine())},
		{"endless empty lines", endless(false, "\r\n")},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startServe(t, binary, *memoryMB)
			n.check(t, c.load, *maxFDs-fileFDs)
		})
	}
}

// build builds the program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "medlaryard")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/medlaryard").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// check plays a load and checks that the daemon stays within the memory of the flags
// and the given number of descriptors.
func (n *node) check(t *testing.T, l load, maxFDs int) {
	t.Helper()
	n.survives(t, func() { play(callers, *connections, l) }, *memoryMB, maxFDs)
}

// survives plays a load and checks that the daemon lives, stays within the given memory
// and number of descriptors, and answers afterwards.
func (n *node) survives(t *testing.T, play func(), memoryMB, maxFDs int) {
	t.Helper()
	done, answered := make(chan struct{}), make(chan string, 1)
	go func() { answered <- n.requestsUntil(done) }()
	play()
	close(done)
	if !n.alive() {
		t.Fatal("the process has ended")
	}
	if !n.serves() {
		t.Error("no usual request is answered after the load")
	}
	memory := n.peakMemory(t)
	_ = n.cmd.Process.Kill() // The process is alive.
	<-n.sampled
	t.Logf("%d MB resident, %d descriptors, %s", memory/1e6, n.maxFDs, <-answered)
	if limit := memoryMB * 1e6; memory > limit {
		t.Errorf("%d bytes resident, the bound is %d", memory, limit)
	}
	if n.maxFDs > maxFDs {
		t.Errorf("%d descriptors, the bound is %d", n.maxFDs, maxFDs)
	}
}

// longLine returns a header line of 2 KB.
func longLine() string { return "X-Line: " + strings.Repeat("x", 2<<10) + "\r\n" }
