package catalogue

import (
	"time"
)

// MoveSpec holds the values that NewMove takes.
type MoveSpec struct {
	EntrySpec
	// From is the old version.
	From string
	// To is the new version.
	To string
	// Start is the earliest time of the first step.
	Start time.Time
	// FinishBy is the time by which a version without faults receives all traffic.
	FinishBy time.Time
	// MaxShare is the maximum share of traffic, from 0 to 1, that the new version receives
	// before it has served MinEvidence requests.
	MaxShare float64
	// GuardedRoutes are the routes whose errors and latencies are compared separately.
	// If it is empty, every route that occurs is compared separately.
	GuardedRoutes []string
	// MaxErrorRatio is how far the new version's error ratio may exceed the old version's
	// before the move is rolled back.
	MaxErrorRatio float64
	// MaxLatencyRatio is the maximum ratio of the new version's 0.95-quantile latency to
	// the old version's; above it the move is rolled back.
	MaxLatencyRatio float64
	// MinEvidence is the minimum number of requests of the new version that must be counted
	// before each step to a share above MaxShare.
	MinEvidence int
}

// Move is a version move: the gradual shift of traffic from one back-end version to another.
type Move struct {
	Entry
	spec MoveSpec
}

// NewMove returns the immutable Move that spec describes.
func NewMove(spec MoveSpec) *Move {
	return &Move{Entry: NewEntry(spec.EntrySpec), spec: spec}
}

// From is the old version.
func (m *Move) From() string { return m.spec.From }

// To is the new version.
func (m *Move) To() string { return m.spec.To }

// Start is the earliest time of the first step.
func (m *Move) Start() time.Time { return m.spec.Start }

// FinishBy is the time by which a version without faults receives all traffic.
func (m *Move) FinishBy() time.Time { return m.spec.FinishBy }

// MaxShare is the maximum share of traffic, from 0 to 1, that the new version receives
// before it has served MinEvidence requests.
func (m *Move) MaxShare() float64 { return m.spec.MaxShare }

// GuardedRoutes are the routes whose errors and latencies are compared separately.
// If it is empty, every route that occurs is compared separately.
func (m *Move) GuardedRoutes() []string { return m.spec.GuardedRoutes }

// MaxErrorRatio is how far the new version's error ratio may exceed the old version's
// before the move is rolled back.
func (m *Move) MaxErrorRatio() float64 { return m.spec.MaxErrorRatio }

// MaxLatencyRatio is the maximum ratio of the new version's 0.95-quantile latency to
// the old version's; above it the move is rolled back.
func (m *Move) MaxLatencyRatio() float64 { return m.spec.MaxLatencyRatio }

// MinEvidence is the minimum number of requests of the new version that must be counted
// before each step to a share above MaxShare.
func (m *Move) MinEvidence() int { return m.spec.MinEvidence }
