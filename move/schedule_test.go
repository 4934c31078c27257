package move

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlaryard.example/medlaryard/catalogue"
)

// Guards against a schedule whose shares or times do not increase, that never
// reaches full share, or that leaves no reserve before the finish time.
func TestScheduleFullShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(rapid.Int64Range(0, 1e9).Draw(t, "start"), 0)
		length := time.Duration(rapid.Int64Range(10, 1e6).Draw(t, "seconds")) * time.Second
		s := NewSchedule(catalogue.NewMove(catalogue.MoveSpec{
			Start: start, FinishBy: start.Add(length), MaxShare: rapid.Float64Range(0.001, 1).Draw(t, "max share"),
		}))
		last := uint64(len(s.shares))
		for step := uint64(1); step <= last; step++ {
			if s.Share(step) <= s.Share(step-1) || s.Due(step).Before(s.Due(step-1)) {
				t.Fatalf("step %d: share %v after %v", step, s.Share(step), s.Share(step-1))
			}
		}
		if s.Share(last) != 1 || !s.IsLast(last) {
			t.Fatalf("last step has share %v, want 1", s.Share(last))
		}
		if left := s.finishBy.Sub(s.Due(last)); left < time.Duration(finishReserve*float64(length))-time.Nanosecond {
			t.Fatalf("only %v of %v left after the last step", left, length)
		}
	})
}
