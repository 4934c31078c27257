package move

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// stepShares are the default shares of traffic of the steps of a move, in
// ascending order.
var stepShares = []float64{0.01, 0.05, 0.25, 0.5, 1}

// finishReserve is the fraction of a move's time that is kept as a reserve for a
// replaced controller, a store outage or a slow last step.
const finishReserve = 0.3

// Schedule holds the shares of the steps of a move and their times.
type Schedule struct {
	start    time.Time
	finishBy time.Time
	shares   []float64
}

// NewSchedule returns the Schedule of a declared move. The move's MaxShare is one
// of its steps; the steps up to it collect the evidence that the steps above it
// require.
func NewSchedule(m *catalogue.Move) Schedule {
	s := Schedule{start: m.Start(), finishBy: m.FinishBy()}
	for _, share := range stepShares {
		if share < m.MaxShare() {
			s.shares = append(s.shares, share)
		}
	}
	if m.MaxShare() < 1 {
		s.shares = append(s.shares, m.MaxShare())
	}
	for _, share := range stepShares {
		if share > m.MaxShare() {
			s.shares = append(s.shares, share)
		}
	}
	if s.shares[len(s.shares)-1] != 1 {
		s.shares = append(s.shares, 1)
	}
	return s
}

// Share returns the share of the step, between 0 and 1. Step 0 is the time before
// the start.
func (s Schedule) Share(step uint64) float64 {
	if step == 0 {
		return 0
	}
	return s.shares[min(int(step), len(s.shares))-1]
}

// IsLast reports whether the step is the last one, at full share.
func (s Schedule) IsLast(step uint64) bool { return int(step) >= len(s.shares) }

// Due returns the earliest time of the step after the given one. The steps are
// spread evenly over the time before the reserve.
func (s Schedule) Due(step uint64) time.Time {
	usable := time.Duration(float64(s.finishBy.Sub(s.start)) * (1 - finishReserve))
	return s.start.Add(usable * time.Duration(step) / time.Duration(len(s.shares)+1))
}

// Overdue reports whether the finish time of the move has passed.
func (s Schedule) Overdue(now time.Time) bool { return !now.Before(s.finishBy) }
