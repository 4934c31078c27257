// Package entry implements the entry role: it serves callers over HTTP, fans
// each query out to the homes of the replica groups, and merges the results of
// one index snapshot.
//
// The entry chooses the snapshot before the fan-out. It merges a result only if
// shard, snapshot, partition map and key range match the plan, and computes the
// coverage from the labels of the merged results. A refusal states "not run"
// only if no send of the request can have run.
//
// The package also handles non-idempotent requests. The daemon incarnation in a
// request's ticket owns the request: it executes the request at most once, and
// other daemons only ask it for the outcome.
package entry
