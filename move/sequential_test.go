package move

import (
	"math/rand/v2"
	"testing"
)

// Guards against false rollbacks of a version whose failure ratio equals its limit.
// The test repeats after every request; an ordinary significance test would reject
// the version sooner or later.
func TestSequentialTestFalseAlarms(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, limit := range []float64{0.001, 0.02, 0.05, 0.2} {
		for run := range 300 {
			var n, k uint64
			for range 3000 {
				n++
				if rng.Float64() < limit {
					k++
				}
				if ratioExceeds(n, k, limit) {
					t.Fatalf("limit %v, run %d: alarm after %d failures of %d", limit, run, k, n)
				}
			}
		}
	}
}

// Guards against late detection: a test that needs more than maxRequests requests
// to reject a version whose failure ratio is above the limit.
func TestSequentialTestDetection(t *testing.T) {
	for _, tc := range []struct {
		limit, ratio float64
		maxRequests  uint64
	}{
		{0.02, 1, 8}, {0.02, 0.5, 40}, {0.05, 0.3, 120}, {0.02, 0.1, 600},
	} {
		rng := rand.New(rand.NewPCG(3, 4))
		for range 100 {
			var n, k uint64
			for !ratioExceeds(n, k, tc.limit) {
				n++
				if rng.Float64() < tc.ratio {
					k++
				}
				if n > tc.maxRequests {
					t.Fatalf("ratio %v over limit %v not found in %d requests", tc.ratio, tc.limit, n)
				}
			}
		}
	}
}
