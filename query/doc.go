// Package query answers the requests of callers.
//
// An Engine holds the configuration in force. It sends each request to the
// targets of the route's services and decides on retries and hedges. For a
// sharded route it sends the request to one target of each shard, merges the
// parts and decides when an answer with missing parts is returned. A request
// that cannot be answered gets a refusal.
package query
