package home

import "time"

// EstimateSpec holds the values that NewEstimate takes.
type EstimateSpec struct {
	// Name is the name of the searcher.
	Name string
	// Address is the address of the searcher.
	Address string
	// Warm reports whether the searcher has completed its cold start.
	Warm bool
	// Latency is the expected service time; 0 when unknown.
	Latency time.Duration
	// ColdLimit is the limit of requests in flight during the cold start; 0 when warm.
	ColdLimit int
}

// Estimate is the state of one searcher that a home hands off to the next home.
type Estimate struct {
	spec EstimateSpec
}

// NewEstimate returns the immutable Estimate that spec describes.
func NewEstimate(spec EstimateSpec) Estimate { return Estimate{spec: spec} }

// Name is the name of the searcher.
func (e Estimate) Name() string { return e.spec.Name }

// Address is the address of the searcher.
func (e Estimate) Address() string { return e.spec.Address }

// Warm reports whether the searcher has completed its cold start.
func (e Estimate) Warm() bool { return e.spec.Warm }

// Latency is the expected service time; 0 when unknown.
func (e Estimate) Latency() time.Duration { return e.spec.Latency }

// ColdLimit is the limit of requests in flight during the cold start; 0 when warm.
func (e Estimate) ColdLimit() int { return e.spec.ColdLimit }

// Handoff confirms that a daemon no longer sends to a group, and carries its
// estimates of the group's searchers.
type Handoff struct {
	group     string
	searchers []Estimate
}

// NewHandoff returns a Handoff of the group.
func NewHandoff(group string, searchers []Estimate) Handoff {
	return Handoff{group: group, searchers: searchers}
}

// Group is the id of the group.
func (h Handoff) Group() string { return h.group }

// Searchers returns the estimates of the group's searchers; empty when the
// daemon was not home of the group.
func (h Handoff) Searchers() []Estimate { return h.searchers }
