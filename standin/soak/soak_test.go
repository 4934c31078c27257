package soak

import (
	"bytes"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// applyTimeout is far above the time in which a configuration takes effect, so that
// the result does not depend on the speed of the machine. Manual runs use the
// guaranteed 3 s.
const applyTimeout = time.Minute

// seeds are the seeds that CI runs. A seed that once failed stays in the list, with
// a comment on the cause.
var seeds = []int64{1}

// Guards against violations of the guarantees when several faults affect the
// daemons, their store and their targets at the same time. The daemons run as
// separate processes.
func TestSeeds(t *testing.T) {
	binary := build(t)
	for _, seed := range seeds {
		play(t, NewConfig(binary, t.TempDir(), 3, 5*time.Second, applyTimeout), seed)
	}
}

// build builds the daemon and returns its path.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "medlaryard")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/medlaryard").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// play runs one seed and reports its violations.
func play(t *testing.T, cfg Config, seed int64) {
	t.Helper()
	var log bytes.Buffer
	violations, err := Run(cfg, seed, &log)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if t.Failed() {
		t.Log(log.String())
	}
}

// Guards against two runs on the same addresses, whose daemons cannot start and
// count as having exited.
func TestConcurrentRuns(t *testing.T) {
	l, err := net.Listen("tcp4", guardAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if violations, err := Run(NewConfig("/nonexistent", t.TempDir(), 1, 0, 0), 1, io.Discard); err == nil || !strings.Contains(err.Error(), "another run") {
		t.Errorf("violations %v and error %v, want an error that names the other run", violations, err)
	}
}
