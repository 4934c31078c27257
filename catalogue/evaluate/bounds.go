package evaluate

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Defaults of optional keys.
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

// maxSearchers bounds the estate that one text can expand to. The planned size is
// 65,000 searchers.
const maxSearchers = 200_000

// The types of the scalars with their bounds.
var (
	rateType        = syntax.FloatBetween(0.1, 10_000_000, "requests a second")
	concurrencyType = syntax.IntBetween(1, 10_000_000, "requests in flight")
	classType       = syntax.OneOf(catalogue.Interactive, catalogue.Batch)
	policyType      = syntax.OneOf(catalogue.Baseline, catalogue.Current)
	slotsType       = syntax.IntBetween(1, 1024, "requests")
	// A fifth of the connections is reserved, and half of that fifth is for an acting
	// home. With fewer than 10 connections, the half rounds down to 0.
	connectionsType = syntax.IntBetween(10, 100_000, "connections")
	coldLimitType   = syntax.IntBetween(1, 1024, "requests in flight")
	countType       = syntax.IntBetween(1, 10_000, "shards")
	groupSizeType   = syntax.IntBetween(1, 64, "searchers")
	// A shutdown waits 5 s until cached addresses have expired and then for the
	// longest deadline. It is terminated after 60 s.
	deadlineType     = syntax.DurationBetween(time.Millisecond, 50*time.Second)
	quantileType     = syntax.FloatBetween(0.5, 0.999, "")
	budgetType       = syntax.FloatBetween(0, 0.5, "")
	patienceType     = syntax.FloatBetween(1, 100, "")
	shareType        = syntax.FloatBetween(0.001, 1, "")
	errorRatioType   = syntax.FloatBetween(0, 1, "")
	latencyRatioType = syntax.FloatBetween(1, 100, "")
	evidenceType     = syntax.IntBetween(10, 10_000_000, "requests")
)
