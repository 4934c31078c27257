// Package home implements the home of a replica group: the one process that
// sends to the searchers of the group. It holds the queue, the slots, the
// cold-start limits, the latency estimates, the hedges and the version shares.
//
// All state of one group is behind one lock and changes only in reaction to
// events: a request, the end of an attempt, a health answer, a timer or a new
// assignment. Nothing waits while it holds the lock, so that a test can drive
// the same code from a single goroutine on its own clock.
package home
