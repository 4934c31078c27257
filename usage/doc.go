// Package usage counts the requests of client accounts and prepares the reports
// of their numbers, one for each window of true time.
//
// [Counter] counts the requests of this daemon. [Outbox] decides which counts
// each recipient still needs, and [Ledger] sums up the counts of all daemons at
// the daemon that reports them. [TrueTime] is the time that all daemons agree on.
// None of them uses a network.
package usage
