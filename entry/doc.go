// Package entry accepts callers' requests, plans the fan-out over the homes of
// replica groups, and merges the sub-answers of one index snapshot.
//
// The snapshot is chosen before the fan-out. A sub-answer is merged only when
// its shard, snapshot, partition map and key range match the plan, so coverage
// is computed from the labels of what was merged. A refusal says "not run" only
// when every send is known not to have run.
package entry
