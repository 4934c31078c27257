package route

import "time"

// Option sets one property of a Route.
type Option func(*Route)

// Idempotent marks the requests as idempotent: they may run more than once.
func Idempotent() Option { return func(r *Route) { r.idempotent = true } }

// Public marks the requests as public: they need no API key.
func Public() Option { return func(r *Route) { r.public = true } }

// Timeout sets the maximum time that a caller is kept waiting.
func Timeout(d time.Duration) Option { return func(r *Route) { r.timeout = d } }

// Objective sets the latency objective, measured from the caller's first
// attempt.
func Objective(d time.Duration) Option { return func(r *Route) { r.objective = d } }

// Priority sets the priority; 0 is the most urgent.
func Priority(rank int) Option { return func(r *Route) { r.priority = rank } }

// MaxTargets sets on how many targets of a service one request may run. The
// default and minimum is 1.
func MaxTargets(n int) Option { return func(r *Route) { r.maxTargets = max(n, 1) } }

// Sharded sends each request to all shards. The answer holds the greatest
// records of all parts, at most top of them, and needs parts from at least the
// fraction minCoverage of the shards.
func Sharded(shards []string, top int, minCoverage float64) Option {
	return func(r *Route) { r.shards, r.topRecords, r.minCoverage = shards, top, minCoverage }
}

// Split divides the requests among services in proportion to their weights.
func Split(services []string, weights []float64) Option {
	return func(r *Route) { r.split = newSplit(services, weights) }
}

// Regions sets the regions whose targets may serve the route; an empty list
// means all.
func Regions(names []string) Option { return func(r *Route) { r.regions = names } }
