package searcher

import "medlaryard.example/medlaryard/shard"

// State is what a searcher claims about itself; it lags behind or misleads.
type State string

// The values of State.
const (
	Ready    State = "ready"
	Cold     State = "cold"
	Draining State = "draining"
)

// HealthSpec holds the values that NewHealth takes.
type HealthSpec struct {
	// State is the claimed state.
	State State
	// Version is the back-end version.
	Version string
	// Boot identifies the process; another value means a restart.
	Boot string
	// InFlight is the number of requests that the searcher says it runs.
	InFlight int
	// Labels are the snapshots that the searcher holds.
	Labels []shard.Label
}

// Health is a health answer of a searcher.
type Health struct {
	spec HealthSpec
}

// NewHealth returns the immutable Health that spec describes.
func NewHealth(spec HealthSpec) Health { return Health{spec: spec} }

// State is the claimed state.
func (h Health) State() State { return h.spec.State }

// Version is the back-end version.
func (h Health) Version() string { return h.spec.Version }

// Boot identifies the process; another value means a restart.
func (h Health) Boot() string { return h.spec.Boot }

// InFlight is the number of requests that the searcher says it runs.
func (h Health) InFlight() int { return h.spec.InFlight }

// Labels are the snapshots that the searcher holds.
func (h Health) Labels() []shard.Label { return h.spec.Labels }
