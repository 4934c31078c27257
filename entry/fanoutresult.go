package entry

import (
	"context"

	"medlaryard.example/medlaryard/refusal"
)

// countMayHaveRun returns the number of subqueries that ran or may have run.
func (f *fanout) countMayHaveRun() int {
	n := 0
	for i := range f.p.subqueries {
		if sq := &f.p.subqueries[i]; sq.accepted || sq.ran != refusal.NotRun {
			n++
		}
	}
	return n
}

// ranOf returns whether the query ran in a finished fan-out or an earlier one. A
// nil fan-out means that nothing was sent.
func ranOf(f *fanout) refusal.Ran {
	if f == nil {
		return refusal.NotRun
	}
	ran := f.ran
	for i := range f.p.subqueries {
		sq := &f.p.subqueries[i]
		switch {
		case sq.accepted, sq.ran == refusal.DidRun:
			return refusal.DidRun
		case sq.ran != refusal.NotRun:
			ran = refusal.Unknown
		}
	}
	return ran
}

// refusalError returns the refusal of a query without any accepted result. It has
// the most frequent reason, and states "not run" only if no send can have run.
func (f *fanout) refusalError(ctx context.Context) error {
	counts := make(map[refusal.Kind]int)
	kind, detail := refusal.None, ""
	for i := range f.p.subqueries {
		sq := &f.p.subqueries[i]
		if sq.skipped {
			continue // The shard that failed has the reason.
		}
		counts[sq.reason]++
		if counts[sq.reason] > counts[kind] || kind == refusal.None {
			kind, detail = sq.reason, sq.detail
		}
	}
	if kind == refusal.None {
		kind, detail = refusal.Internal, "no subquery was sent to any shard"
		if ctx.Err() != nil {
			kind, detail = refusal.Deadline, "deadline passed before a subquery was sent"
		}
	}
	return refusal.New(kind, "%s", detail).WithRan(ranOf(f))
}
