package node

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/fleet"
)

// Guards against all daemons reading the whole store when the system restarts,
// and against serving daemons that wait for others to start.
func TestInitialStoreReaders(t *testing.T) {
	registered := strongAndWeakCandidates()
	var reads []string
	for _, c := range registered {
		if wouldServe(registered, c) {
			reads = append(reads, c.Name())
		}
	}
	if diff := cmp.Diff([]string{"d00", "d01", "d02", "d03"}, reads); diff != "" {
		t.Errorf("daemons that read the store at once (-want +got):\n%s", diff)
	}
	for _, c := range []struct {
		capacity float64
		want     bool
	}{{0.8, true}, {0.2, false}} {
		replacement := fleet.NewCandidate("new", "z0", "10.0.1.1:7", c.capacity)
		if got := wouldServe(registered, replacement); got != c.want {
			t.Errorf("a new daemon of capacity %v reads the store at once: %v, want %v", c.capacity, got, c.want)
		}
	}
}
