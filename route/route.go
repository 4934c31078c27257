package route

import (
	"math"
	"slices"
	"time"
)

// Route defines how the requests of one host and path prefix are served. It is
// immutable except for the state that divides its traffic among services, and
// safe for concurrent use.
type Route struct {
	name        string
	host        string
	prefix      string
	idempotent  bool
	public      bool
	timeout     time.Duration
	objective   time.Duration
	priority    int
	maxTargets  int
	shards      []string
	topRecords  int
	minCoverage float64
	regions     []string
	split       *weightedSplit
}

// New returns a route for the paths of host that begin with prefix. Without
// options it is not idempotent and uses one target per request.
func New(name, host, prefix string, opts ...Option) *Route {
	r := &Route{name: name, host: host, prefix: prefix, maxTargets: 1}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Public reports whether a request needs no API key.
func (r *Route) Public() bool { return r.public }

// Timeout returns the maximum time that a caller is kept waiting, 0 if only the
// caller's own timeout applies.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Objective returns the latency objective, measured from the caller's first
// attempt.
func (r *Route) Objective() time.Duration { return r.objective }

// Priority returns the priority; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// MaxTargets returns on how many targets of a service one request may run.
func (r *Route) MaxTargets() int { return r.maxTargets }

// Sharded reports whether a request is sent to all shards and the parts are
// merged.
func (r *Route) Sharded() bool { return len(r.shards) > 0 }

// Shards returns the names of the services that each hold one shard of the
// index.
func (r *Route) Shards() []string { return r.shards }

// TopRecords returns the maximum number of records in a merged answer.
func (r *Route) TopRecords() int { return r.topRecords }

// MinShards returns the number of parts that a merged answer needs to be a
// success.
func (r *Route) MinShards() int {
	// The product of a fraction such as 0.95 and a count may exceed the
	// intended whole number by a rounding error.
	const rounding = 1e-9
	return max(1, int(math.Ceil(r.minCoverage*float64(len(r.shards))-rounding)))
}

// AllowsRegion reports whether targets of the given region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.regions) == 0 || slices.Contains(r.regions, region)
}

// NextService returns the service for the next request of a route that is not
// sharded. Successive calls follow the weights of the route's services.
func (r *Route) NextService() string { return r.split.next() }

// Services returns the names of all services that the route may use.
func (r *Route) Services() []string {
	if r.Sharded() {
		return r.shards
	}
	return r.split.names()
}
