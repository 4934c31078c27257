package entry

import (
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// lane is the part of a query that one shard answers.
type lane struct {
	shard string
	group string
	// label is what the group announced for the plan's target; known is false
	// when it announced nothing.
	label shard.Label
	known bool

	// pending is the number of sends without an answer yet.
	pending int
	// tried are the daemons that the lane was sent to in this round of candidates.
	tried []string
	// names backs tried, which saves an allocation for each shard.
	names [maxCandidates]string
	// parked is set while the lane waits for the next round, because no daemon
	// served the group. Homes change hands within a second.
	parked bool
	rounds int
	// skipped is set when a suspect was not sent to the shard.
	skipped bool
	// merged is set once result was accepted.
	merged bool
	result *shard.Result
	// reason and ran describe the latest failure.
	reason refusal.Kind
	ran    refusal.Ran
	detail string
}

// done reports whether no answer is awaited.
func (l *lane) done() bool { return l.merged || l.pending == 0 && !l.parked }

func (l *lane) fail(kind refusal.Kind, ran refusal.Ran, detail string) {
	if l.merged {
		return
	}
	l.reason, l.detail = kind, detail
	// A send that may have run leaves that possibility open for the lane.
	if l.ran == "" || ran != refusal.NotRun {
		l.ran = ran
	}
}

// check returns the reason why r is not an answer of this lane for t.
func (l *lane) check(t target, r shard.Result) (refusal.Kind, string) {
	label := r.Label()
	switch {
	case r.Kind() != refusal.None:
		return r.Kind(), r.Detail()
	case r.Shard() != l.shard || r.Group() != l.group:
		return refusal.BadReply, "reply names another shard"
	case !valid(label):
		return refusal.BadReply, "label is inconsistent"
	case label.Snapshot() != t.snapshot:
		return refusal.BadReply, "reply is from another snapshot"
	case label.Map() != t.mapID:
		return refusal.SnapshotGone, "shard was repartitioned"
	case label.Total() != t.total:
		return refusal.BadReply, "reply states another total"
	case l.known && label != l.label:
		return refusal.BadReply, "reply covers another key range"
	}
	return refusal.None, ""
}
