package entry

import (
	"context"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// park lets a lane wait for the next round of candidates if nothing was run for
// it and time is left. Otherwise the lane has failed.
func (f *fanout) park(l *lane) {
	if l.merged || l.pending > 0 {
		return
	}
	if l.reason == refusal.None {
		l.fail(refusal.HomeUnreachable, refusal.NotRun, "no daemon serves the group")
	}
	pause := firstRound << l.rounds
	if l.ran != refusal.NotRun || l.rounds >= maxRounds || f.s.suspect || f.s.deadline-f.s.e.clk.Boot() <= 2*pause {
		return
	}
	l.parked = true
	f.again.Reset(pause)
}

// unpark sends all waiting lanes again.
func (f *fanout) unpark(ctx context.Context) {
	var lanes []int
	for i := range f.p.lanes {
		if l := &f.p.lanes[i]; l.parked {
			l.parked, l.tried, l.rounds = false, nil, l.rounds+1
			lanes = append(lanes, i)
		}
	}
	if len(lanes) > 0 {
		meter.Retried("entry", refusal.NotHome)
		f.send(ctx, lanes)
	}
}
