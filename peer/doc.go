// Package peer is the service between daemons: a client with bounded
// connections and replies, an HTTP handler whose rpcs are function fields, and
// the conversion between shard values and wire messages.
package peer
