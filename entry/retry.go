package entry

import (
	"context"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// scheduleRetry schedules another round over the candidates if the subquery has
// not run and time is left. Otherwise the subquery stays failed.
func (f *fanout) scheduleRetry(sq *subquery) {
	if sq.accepted || sq.pending > 0 {
		return
	}
	if sq.reason == refusal.None {
		sq.fail(refusal.HomeUnreachable, refusal.NotRun, "no daemon serves the replica group")
	}
	pause := firstRetryPause << sq.retryRounds
	if sq.ran != refusal.NotRun || sq.retryRounds >= maxRetryRounds || f.s.suspect || f.s.deadline-f.s.e.clk.Boot() <= 2*pause {
		return
	}
	sq.retryScheduled = true
	f.retryTimer.Reset(pause)
}

// sendRetries sends all subqueries with a scheduled retry.
func (f *fanout) sendRetries(ctx context.Context) {
	var indexes []int
	for i := range f.p.subqueries {
		if sq := &f.p.subqueries[i]; sq.retryScheduled {
			sq.retryScheduled, sq.tried, sq.retryRounds = false, nil, sq.retryRounds+1
			indexes = append(indexes, i)
		}
	}
	if len(indexes) > 0 {
		meter.Retried("entry", refusal.NotHome)
		f.send(ctx, indexes)
	}
}
