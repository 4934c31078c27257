package route

import "time"

// Option sets one property of a Route.
type Option func(*Route)

// Idempotent permits that a request runs more than once.
func Idempotent() Option { return func(r *Route) { r.idempotent = true } }

// Timeout bounds the time that a caller is kept waiting.
func Timeout(d time.Duration) Option { return func(r *Route) { r.timeout = d } }

// Objective sets the time within which an answer has its full value.
func Objective(d time.Duration) Option { return func(r *Route) { r.objective = d } }

// Priority sets the rank; 0 is the most urgent.
func Priority(rank int) Option { return func(r *Route) { r.priority = rank } }

// MaxTargets bounds the targets of a service on which one request may run.
func MaxTargets(n int) Option { return func(r *Route) { r.maxTargets = max(n, 1) } }

// Sharded sends each request to all shards. The answer holds the greatest top
// records and needs parts of at least the fraction minCoverage of the shards.
func Sharded(shards []string, top int, minCoverage float64) Option {
	return func(r *Route) { r.shards, r.topRecords, r.minCoverage = shards, top, minCoverage }
}

// Split divides the requests among services in proportion to their weights.
func Split(services []string, weights []float64) Option {
	return func(r *Route) { r.split = newSplit(services, weights) }
}

// Regions names the regions whose targets may serve the route; none means all.
func Regions(names []string) Option { return func(r *Route) { r.regions = names } }
