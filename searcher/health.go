package searcher

import "medlaryard.example/medlaryard/shard"

// State is the state that a searcher reports about itself. It may be outdated
// or wrong.
type State string

// The values of State.
const (
	Ready    State = "ready"
	Cold     State = "cold"
	Draining State = "draining"
)

// HealthSpec holds the values of a Health.
type HealthSpec struct {
	// State is the reported state.
	State State
	// Version is the back-end version.
	Version string
	// Boot identifies the searcher process; it changes with each restart.
	Boot string
	// InFlight is the number of running requests that the searcher reports.
	InFlight int
	// Labels describe the snapshots that the searcher holds.
	Labels []shard.Label
}

// Health is the checked health reply of a searcher.
type Health struct {
	spec HealthSpec
}

// NewHealth returns an immutable Health with the values of spec.
func NewHealth(spec HealthSpec) Health { return Health{spec: spec} }

// State returns the reported state.
func (h Health) State() State { return h.spec.State }

// Version returns the back-end version.
func (h Health) Version() string { return h.spec.Version }

// Boot returns the id of the searcher process; it changes with each restart.
func (h Health) Boot() string { return h.spec.Boot }

// InFlight returns the number of running requests that the searcher reports.
func (h Health) InFlight() int { return h.spec.InFlight }

// Labels returns the labels of the snapshots that the searcher holds.
func (h Health) Labels() []shard.Label { return h.spec.Labels }
