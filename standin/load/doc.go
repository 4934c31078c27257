// Package load is an open-loop load generator for the callers' interface: it
// sends requests at a fixed rate, whether or not earlier ones were answered, and
// checks the answers.
//
// Answers to queries are compared with the reference answers of a corpus. The
// answers to non-idempotent requests are compared with the runs that the
// searchers recorded. Run returns a Report with counts, latencies and
// violations. Product code does not import this package.
package load
