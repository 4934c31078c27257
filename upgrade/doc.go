// Package upgrade decides how the traffic of a service moves to a new version
// of its targets.
//
// Share returns the share of requests that the new version gets. NextState
// compares the answers of both versions and decides when to roll back and when
// the move is complete. The functions are pure; the caller collects the tallies
// and stores the state.
package upgrade
