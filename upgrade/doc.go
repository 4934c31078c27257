// Package upgrade decides how the traffic of a service moves to a new version of
// its targets: which share the new version gets, when it is taken for bad and
// when the move is complete. It runs without a network.
package upgrade
