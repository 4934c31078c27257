package query

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/route"
)

// Guards against retry delays that are too short although the answer is late in
// any case, that exceed the caller's remaining time, or that are equal for many
// callers.
func TestScheduleRetryAfter(t *testing.T) {
	started := time.Unix(1000, 0)
	for _, c := range []struct {
		name                     string
		objective, callerTimeout time.Duration
		minimum, maximum         time.Duration
	}{
		{"the answer can still be in time", 400 * time.Millisecond, 6 * time.Second, 150 * time.Millisecond, 250 * time.Millisecond},
		{"the answer is late in any case", 100 * time.Millisecond, 1500 * time.Millisecond, 340 * time.Millisecond, 500 * time.Millisecond},
		{"the caller has little time left", 50 * time.Millisecond, 300 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond},
	} {
		r := route.New("r", "h", "/", route.Objective(c.objective), route.Timeout(10*time.Second))
		s := newSchedule(r, started, c.callerTimeout, 0, 10*time.Millisecond)
		seen := make(map[time.Duration]bool)
		for range 200 {
			d := s.retryAfter(started)
			if d < c.minimum || d > c.maximum {
				t.Fatalf("%s: retry after %v, want %v to %v", c.name, d, c.minimum, c.maximum)
			}
			seen[d] = true
		}
		if len(seen) < 100 {
			t.Errorf("%s: %d different delays of 200, want at least 100", c.name, len(seen))
		}
	}
}
