package evaluate

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Defaults of keys that a catalogue may leave out.
const (
	DefaultGroupSize       = 16
	DefaultMaxDeadline     = 2 * time.Second
	DefaultHedgeQuantile   = 0.95
	DefaultExtraBudget     = 0.05
	DefaultPatienceFactor  = 4.0
	DefaultColdLimit       = 1
	DefaultMaxShare        = 0.05
	DefaultMaxErrorRatio   = 0.02
	DefaultMaxLatencyRatio = 1.5
	DefaultMinEvidence     = 200
	DefaultPolicy          = catalogue.Current
)

// maxSearchers bounds the estate that one text can expand to. The size planned
// for is 65,000.
const maxSearchers = 200_000

// The types of all scalars with their bounds.
var (
	rateType        = syntax.FloatBetween(0.1, 10_000_000, "requests a second")
	concurrencyType = syntax.IntBetween(1, 10_000_000, "requests in flight")
	classType       = syntax.OneOf(catalogue.Interactive, catalogue.Batch)
	policyType      = syntax.OneOf(catalogue.Baseline, catalogue.Current)
	slotsType       = syntax.IntBetween(1, 1024, "requests")
	// Half of the reserved fifth of fewer than 10 connections would leave an
	// acting home without any.
	connectionsType = syntax.IntBetween(10, 100_000, "connections")
	coldLimitType   = syntax.IntBetween(1, 1024, "requests in flight")
	countType       = syntax.IntBetween(1, 10_000, "shards")
	groupSizeType   = syntax.IntBetween(1, 64, "searchers")
	// A shutdown waits 5 s for cached addresses and then for the longest
	// deadline, and is cut off after 60 s.
	deadlineType     = syntax.DurationBetween(time.Millisecond, 50*time.Second)
	quantileType     = syntax.FloatBetween(0.5, 0.999, "")
	budgetType       = syntax.FloatBetween(0, 0.5, "")
	patienceType     = syntax.FloatBetween(1, 100, "")
	shareType        = syntax.FloatBetween(0.001, 1, "")
	errorRatioType   = syntax.FloatBetween(0, 1, "")
	latencyRatioType = syntax.FloatBetween(1, 100, "")
	evidenceType     = syntax.IntBetween(10, 10_000_000, "requests")
)
