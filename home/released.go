package home

import "time"

// EstimateSpec holds the values that NewEstimate takes.
type EstimateSpec struct {
	// Name names the searcher.
	Name string
	// Address is the address of the searcher.
	Address string
	// Warm is set when the searcher has finished its cold start.
	Warm bool
	// Latency is the expected service time; 0 when unknown.
	Latency time.Duration
	// ColdLimit is the number of requests in flight that the ramp allows; 0 when warm.
	ColdLimit int
}

// Estimate is what a home knows about one searcher.
type Estimate struct {
	spec EstimateSpec
}

// NewEstimate returns the immutable Estimate that spec describes.
func NewEstimate(spec EstimateSpec) Estimate { return Estimate{spec: spec} }

// Name names the searcher.
func (e Estimate) Name() string { return e.spec.Name }

// Address is the address of the searcher.
func (e Estimate) Address() string { return e.spec.Address }

// Warm is set when the searcher has finished its cold start.
func (e Estimate) Warm() bool { return e.spec.Warm }

// Latency is the expected service time; 0 when unknown.
func (e Estimate) Latency() time.Duration { return e.spec.Latency }

// ColdLimit is the number of requests in flight that the ramp allows; 0 when warm.
func (e Estimate) ColdLimit() int { return e.spec.ColdLimit }

// Released states that a daemon no longer sends to a group, and what it knew.
type Released struct {
	group     string
	searchers []Estimate
}

// NewReleased returns a Released of the group.
func NewReleased(group string, searchers []Estimate) Released {
	return Released{group: group, searchers: searchers}
}

// Group is the id of the group.
func (r Released) Group() string { return r.group }

// Searchers are the estimates of the group's searchers; empty when the daemon
// was not home of the group.
func (r Released) Searchers() []Estimate { return r.searchers }
