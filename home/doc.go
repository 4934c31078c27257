// Package home implements the home of a replica group: the one process that
// sends requests to the searchers of the group. A home holds the group's queue
// and slots, its cold-start limits and latency estimates, and decides on
// retries, hedges and the traffic share of new back-end versions.
//
// A Set holds all homes of a daemon. Set.Apply installs the groups that the
// daemon is home of, Set.Do runs one request, and Set.Release and
// Set.ImportEstimates hand a group off to another daemon.
//
// All state of one group is guarded by one lock and changes only in reaction to
// events: a new request, the end of an attempt, a health reply, a timer or a
// new assignment. No code blocks while it holds the lock, so tests can drive it
// from a single goroutine on a simulated clock.
package home
