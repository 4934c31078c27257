// Package node runs one daemon of the query tier on a platform whose store
// holds the configuration and the targets. It connects the mirror of the store,
// the fleet of daemons and the query engine, and shuts down without losing
// requests.
package node
