package query

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/route"
)

// Guards against callers that are told to come back while targets are still lost
// although a later return would do as well, against ones that come back after
// they would have given up waiting, and against callers that return together.
func TestWhenCallersComeBack(t *testing.T) {
	started := time.Unix(1000, 0)
	for _, c := range []struct {
		name                string
		objective, patience time.Duration
		least, most         time.Duration
	}{
		{"the answer can still be in time", 400 * time.Millisecond, 6 * time.Second, 150 * time.Millisecond, 250 * time.Millisecond},
		{"the answer is late in any case", 100 * time.Millisecond, 1500 * time.Millisecond, 340 * time.Millisecond, 500 * time.Millisecond},
		{"the caller waits for little longer", 50 * time.Millisecond, 300 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond},
	} {
		r := route.New("r", "h", "/", route.Objective(c.objective), route.Timeout(10*time.Second))
		s := newSchedule(r, started, c.patience, 0, 10*time.Millisecond)
		seen := make(map[time.Duration]bool)
		for range 200 {
			d := s.comeBack(started)
			if d < c.least || d > c.most {
				t.Fatalf("%s: come back after %v, want %v to %v", c.name, d, c.least, c.most)
			}
			seen[d] = true
		}
		if len(seen) < 100 {
			t.Errorf("%s: %d different times of 200", c.name, len(seen))
		}
	}
}
