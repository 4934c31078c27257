// Package upgrade decides how the traffic of a service moves to a new version
// of its targets.
//
// A Collector counts the answers of both versions by route. SharesFor returns the
// shares of requests that the new version gets. NextState compares the answers of
// both versions and decides when to roll back and when the move is complete. The
// decisions are pure functions; the caller passes the evidence between daemons and
// stores the state.
package upgrade
