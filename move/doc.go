// Package move shifts traffic step by step from one back-end version to another.
//
// A Schedule raises the new version's share of traffic in steps. Homes collect
// Evidence: request counts and latencies by version and route. A Guard compares
// the new version with the old one. If the evidence proves that the new version
// exceeds its error or latency limit, or if the move misses its finish time, the
// move is rolled back to share 0.
//
// The Controller runs at the leader of a cell and keeps the State of each move as
// one object in the platform's store. Each daemon has a Follower, which applies
// the shares and stops a bad version by the daemon's own evidence without waiting
// for the controller.
package move
