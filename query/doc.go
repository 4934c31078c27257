// Package query answers the requests of callers. It sends a request to the
// targets that its route names, decides on hedges and retries, merges the parts
// of a sharded answer and decides when the answer is due.
package query
