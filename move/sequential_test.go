package move

import (
	"math/rand/v2"
	"testing"
)

// Guards against false rollbacks: a version that fails exactly at its limit is
// looked at after every request, so an ordinary significance test would reject it.
func TestRepeatedLooksRaiseNoFalseAlarm(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, limit := range []float64{0.001, 0.02, 0.05, 0.2} {
		for run := range 300 {
			var n, k uint64
			for range 3000 {
				n++
				if rng.Float64() < limit {
					k++
				}
				if exceeds(n, k, limit) {
					t.Fatalf("limit %v, run %d: alarm after %d failures of %d", limit, run, k, n)
				}
			}
		}
	}
}

// Guards against late detection: the number of requests that a bad version may
// consume before the test finds it.
func TestBadVersionIsFoundWithinFewRequests(t *testing.T) {
	for _, tc := range []struct {
		limit, ratio float64
		within       uint64
	}{
		{0.02, 1, 8}, {0.02, 0.5, 40}, {0.05, 0.3, 120}, {0.02, 0.1, 600},
	} {
		rng := rand.New(rand.NewPCG(3, 4))
		for range 100 {
			var n, k uint64
			for !exceeds(n, k, tc.limit) {
				n++
				if rng.Float64() < tc.ratio {
					k++
				}
				if n > tc.within {
					t.Fatalf("ratio %v over limit %v not found in %d requests", tc.ratio, tc.limit, n)
				}
			}
		}
	}
}
