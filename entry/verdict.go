package entry

import (
	"context"

	"medlaryard.example/medlaryard/refusal"
)

// mayHaveRun counts the lanes that a restart would run a second time.
func (f *fanout) mayHaveRun() int {
	n := 0
	for i := range f.p.lanes {
		if l := &f.p.lanes[i]; l.merged || l.ran != refusal.NotRun {
			n++
		}
	}
	return n
}

// ranOf is what a finished fan-out leaves open about the query.
func ranOf(f *fanout) refusal.Ran {
	if f == nil {
		return refusal.NotRun
	}
	ran := f.ran
	for i := range f.p.lanes {
		l := &f.p.lanes[i]
		switch {
		case l.merged, l.ran == refusal.DidRun:
			return refusal.DidRun
		case l.ran != refusal.NotRun:
			ran = refusal.Unknown
		}
	}
	return ran
}

// refusal summarises a query of which nothing was merged: the most frequent
// reason, and "not run" only when that holds for every send.
func (f *fanout) refusal(ctx context.Context) error {
	counts := make(map[refusal.Kind]int)
	top, detail := refusal.None, ""
	for i := range f.p.lanes {
		l := &f.p.lanes[i]
		if l.skipped {
			continue // The shard that failed tells why.
		}
		counts[l.reason]++
		if counts[l.reason] > counts[top] || top == refusal.None {
			top, detail = l.reason, l.detail
		}
	}
	if top == refusal.None {
		top, detail = refusal.Internal, "no shard was asked"
		if ctx.Err() != nil {
			top, detail = refusal.Deadline, "no time left to ask"
		}
	}
	return refusal.New(top, "%s", detail).WithRan(ranOf(f))
}
