// Package readbudget bounds the memory that answers take while a daemon reads
// them.
//
// A Budget is shared by all connections of a daemon to its targets. A Reader takes
// from it what one connection has read of its current answer, so that answers
// without end cannot exhaust the memory together, although each is within its own
// limit. Release keeps the memory of large answers out of the pool of responses.
package readbudget
