package soak

import (
	"bytes"
	"os/exec"
	"path/filepath"
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
	binary := filepath.Join(t.TempDir(), "medlaryard")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/medlaryard").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, seed := range seeds {
		var log bytes.Buffer
		violations, err := Run(NewConfig(binary, t.TempDir(), 3, 5*time.Second, applyTimeout), seed, &log)
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
}
