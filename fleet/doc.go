// Package fleet tells a daemon which other daemons run. Daemons send one another
// heartbeats by datagram, which also tell how current their copy of the store is.
package fleet
