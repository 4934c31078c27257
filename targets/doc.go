// Package targets sends requests to the targets of a service.
//
// A Group holds the targets of one service. It chooses the target of each call,
// keeps this daemon's connections within its share of the target's connection
// cap, and limits the requests to cold targets and the number of extra sends. It
// keeps to what targets state about themselves in their answers, the Notices,
// and bounds the memory of answers that are being read by a ReadBudget.
// It estimates the latency and failure rate of each target from answers,
// failures and unanswered calls; failures are also exchanged with the other
// daemons as Reports.
package targets
