package targets

import "time"

// Placement is a rule that selects the target of a request. It has no state and
// sees only the targets that may get the request now.
type Placement interface {
	// Choose returns the index of the candidate that gets the request. There is
	// at least one. Among equal candidates it prefers the first.
	Choose(candidates []Candidate) int
	// Latency returns the expected time until the candidate's answer as a multiple
	// of the route's median latency, adjusted for failures and failure domain.
	Latency(c Candidate) float64
}

// Candidate describes a target that may get a request.
type Candidate struct {
	slowness  float64
	failures  float64
	calls     int
	slots     int
	domain    bool          // Whether it is in this daemon's failure domain.
	median    time.Duration // Of the route.
	retry     bool          // Whether the request has been sent to another target before.
	dial      time.Duration // Time to open a connection first.
	remaining time.Duration // Expected time left of all calls at the target.
	expected  time.Duration // Expected service time of the request; 0 if its kind is not known.
}

// Calls returns the number of this daemon's calls at the target.
func (c Candidate) Calls() int { return c.calls }

// Remaining returns the expected time left of these calls.
func (c Candidate) Remaining() time.Duration { return c.remaining }

// domainCost returns the cost of another failure domain and of a new connection.
func (c Candidate) domainCost() float64 {
	if c.domain {
		return 0
	}
	return crossDomainCost
}

// ByLatency is the placement by the median latency of the route, in which every
// request counts the same. It is the default.
type ByLatency struct{}

// Latency implements Placement.
func (ByLatency) Latency(c Candidate) float64 {
	load := 1 + float64(c.calls)/float64(c.slots)
	return c.slowness*load*(1+failureCost*c.failures) + c.domainCost()
}

// Choose implements Placement.
func (p ByLatency) Choose(candidates []Candidate) int { return lowest(p, candidates) }

// minCostSlowness bounds how much faster than expected a target may look, since a
// kind whose requests differ makes it look fast after some cheap ones.
const minCostSlowness = 0.5

const (
	// expectedFailureCost replaces failureCost in the placement by cost. A failure
	// uses the budget of extra sends, and a failure of both calls of a part, which
	// most routes permit, loses the part.
	expectedFailureCost = 8
	// retryFailureCost replaces it for a retry or hedge, whose failure loses the part.
	retryFailureCost = 20
)

// ByCost is the placement by the expected time of completion: the remaining work
// of a target divided by its slots, and the cost of the request itself.
type ByCost struct{}

// Latency implements Placement.
func (ByCost) Latency(c Candidate) float64 {
	if c.expected <= 0 {
		return ByLatency{}.Latency(c)
	}
	work := float64(c.remaining)/float64(c.slots) + float64(c.expected)
	failures := expectedFailureCost * c.failures
	if c.retry {
		failures = retryFailureCost * c.failures
	}
	return max(c.slowness, minCostSlowness)*work/float64(c.median)*(1+failures) + c.domainCost()
}

// Choose implements Placement.
func (p ByCost) Choose(candidates []Candidate) int { return lowest(p, candidates) }

// LeastCalls is the placement at the target with the fewest calls of this daemon.
// Other rules are compared with it.
type LeastCalls struct{ ByLatency }

// Choose implements Placement.
func (LeastCalls) Choose(candidates []Candidate) int {
	best := 0
	for i, c := range candidates {
		if c.calls < candidates[best].calls {
			best = i
		}
	}
	return best
}

// costTolerance is the relative difference below which two costs count as
// equal, since they are estimates.
const costTolerance = 0.1

// lowest returns the index of the candidate with the lowest expected latency.
func lowest(p Placement, candidates []Candidate) int {
	best, bestCost := -1, 0.0
	for i, c := range candidates {
		cost := p.Latency(c)
		if c.dial > 0 {
			cost += float64(c.dial) / float64(c.median)
		}
		if best < 0 || cost < bestCost*(1-costTolerance) {
			best, bestCost = i, cost
		}
	}
	return best
}
