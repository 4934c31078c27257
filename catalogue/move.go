package catalogue

import (
	"time"
)

// MoveSpec holds the values that NewMove takes.
type MoveSpec struct {
	EntrySpec
	// From is the version that traffic leaves.
	From string
	// To is the version that traffic goes to.
	To string
	// Start is the earliest time of the first step.
	Start time.Time
	// FinishBy is the time by which a good version has all traffic.
	FinishBy time.Time
	// MaxShare is the highest share of traffic that an unproved version receives.
	MaxShare float64
	// GuardedRoutes are the routes that are judged separately; empty judges every route seen.
	GuardedRoutes []string
	// MaxErrorRatio is the error ratio above the old version's that rolls the move back.
	MaxErrorRatio float64
	// MaxLatencyRatio is the ratio of new to old 0.95-quantile latency that rolls the move back.
	MaxLatencyRatio float64
	// MinEvidence is the number of requests that a step needs before it may advance.
	MinEvidence int
}

// Move is a declared change of traffic from one back-end version to another.
type Move struct {
	Entry
	spec MoveSpec
}

// NewMove returns the immutable Move that spec describes.
func NewMove(spec MoveSpec) *Move {
	return &Move{Entry: NewEntry(spec.EntrySpec), spec: spec}
}

// From is the version that traffic leaves.
func (m *Move) From() string { return m.spec.From }

// To is the version that traffic goes to.
func (m *Move) To() string { return m.spec.To }

// Start is the earliest time of the first step.
func (m *Move) Start() time.Time { return m.spec.Start }

// FinishBy is the time by which a good version has all traffic.
func (m *Move) FinishBy() time.Time { return m.spec.FinishBy }

// MaxShare is the highest share of traffic that an unproved version receives.
func (m *Move) MaxShare() float64 { return m.spec.MaxShare }

// GuardedRoutes are the routes that are judged separately; empty judges every route seen.
func (m *Move) GuardedRoutes() []string { return m.spec.GuardedRoutes }

// MaxErrorRatio is the error ratio above the old version's that rolls the move back.
func (m *Move) MaxErrorRatio() float64 { return m.spec.MaxErrorRatio }

// MaxLatencyRatio is the ratio of new to old 0.95-quantile latency that rolls the move back.
func (m *Move) MaxLatencyRatio() float64 { return m.spec.MaxLatencyRatio }

// MinEvidence is the number of requests that a step needs before it may advance.
func (m *Move) MinEvidence() int { return m.spec.MinEvidence }
