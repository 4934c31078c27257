package entry

import (
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// subquery is the part of a query that one shard answers.
type subquery struct {
	shard string
	group string
	// label is the group's label for the plan's index version. It is unset
	// while labelKnown is false.
	label      shard.Label
	labelKnown bool

	// pending is the number of sends without a reply.
	pending int
	// tried lists the daemons that received the subquery since the latest retry.
	tried []string
	// triedBuf is the backing array of tried. It saves an allocation per shard.
	triedBuf [maxCandidates]string
	// retryScheduled is set while the subquery waits for a retry because no
	// daemon served the group. A handoff of the home completes within a second.
	retryScheduled bool
	retryRounds    int
	// skipped is set if a suspect query was not sent to the shard.
	skipped bool
	// accepted is set once result passed the checks.
	accepted bool
	result   *shard.Result
	// reason and ran describe the latest failure.
	reason refusal.Kind
	ran    refusal.Ran
	detail string
}

// done reports whether neither a reply nor a retry is outstanding.
func (sq *subquery) done() bool { return sq.accepted || sq.pending == 0 && !sq.retryScheduled }

func (sq *subquery) fail(kind refusal.Kind, ran refusal.Ran, detail string) {
	if sq.accepted {
		return
	}
	sq.reason, sq.detail = kind, detail
	// If any send may have run, so may the subquery.
	if sq.ran == "" || ran != refusal.NotRun {
		sq.ran = ran
	}
}

// check returns why r is not a valid result of the subquery for the index
// version. The kind is refusal.None if it is valid.
func (sq *subquery) check(version indexVersion, r shard.Result) (refusal.Kind, string) {
	label := r.Label()
	switch {
	case r.Kind() != refusal.None:
		return r.Kind(), r.Detail()
	case r.Shard() != sq.shard || r.Group() != sq.group:
		return refusal.BadReply, "reply is for another shard or replica group"
	case !validLabel(label):
		return refusal.BadReply, "label in the reply is not valid"
	case label.Snapshot() != version.snapshot:
		return refusal.BadReply, "reply is from another snapshot"
	case label.Map() != version.mapID:
		return refusal.SnapshotGone, "shard was repartitioned"
	case label.Total() != version.total:
		return refusal.BadReply, "reply states another total number of documents"
	case sq.labelKnown && label != sq.label:
		return refusal.BadReply, "label in the reply differs from the label that the group announced"
	}
	return refusal.None, ""
}
