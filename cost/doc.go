// Package cost learns how long targets work on requests. Requests of a route with
// the same shape form a kind; each kind has a decaying histogram of service times,
// from which it predicts the cost of the next request and the time left of one in
// progress. All types are safe for concurrent use.
package cost
