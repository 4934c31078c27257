package move

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// shares are the shares of traffic of the steps of a move, smallest first. The
// steps up to a move's max_share come first and prove the version.
var shares = []float64{0.01, 0.05, 0.25, 0.5, 1}

// finishReserve is the part of a move's time that is kept for a replaced
// controller, a store outage or a slow last step.
const finishReserve = 0.3

// Schedule places the steps of a move in time.
type Schedule struct {
	start    time.Time
	finishBy time.Time
	shares   []float64
}

// NewSchedule returns the Schedule of a declared move.
func NewSchedule(m *catalogue.Move) Schedule {
	s := Schedule{start: m.Start(), finishBy: m.FinishBy()}
	for _, share := range shares {
		if share < m.MaxShare() {
			s.shares = append(s.shares, share)
		}
	}
	if m.MaxShare() < 1 {
		s.shares = append(s.shares, m.MaxShare())
	}
	for _, share := range shares {
		if share > m.MaxShare() {
			s.shares = append(s.shares, share)
		}
	}
	if s.shares[len(s.shares)-1] != 1 {
		s.shares = append(s.shares, 1)
	}
	return s
}

// Share returns the share of the step; step 0 is before the start.
func (s Schedule) Share(step uint64) float64 {
	if step == 0 {
		return 0
	}
	return s.shares[min(int(step), len(s.shares))-1]
}

// Last reports whether the step carries all traffic.
func (s Schedule) Last(step uint64) bool { return int(step) >= len(s.shares) }

// Due returns the time from which the step after the given one may be taken.
// Steps are spread evenly over the time before the reserve.
func (s Schedule) Due(step uint64) time.Time {
	usable := time.Duration(float64(s.finishBy.Sub(s.start)) * (1 - finishReserve))
	return s.start.Add(usable * time.Duration(step) / time.Duration(len(s.shares)+1))
}

// Overdue reports whether the move can no longer finish in time.
func (s Schedule) Overdue(now time.Time) bool { return !now.Before(s.finishBy) }
