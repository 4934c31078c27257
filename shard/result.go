package shard

import (
	"medlaryard.example/medlaryard/refusal"
)

// ResultSpec holds the values that NewResult takes.
type ResultSpec struct {
	// Kind is refusal.None for an answer, otherwise the reason for its absence.
	Kind refusal.Kind
	// Ran states whether the request ran on a searcher.
	Ran refusal.Ran
	// Shard names the shard.
	Shard string
	// Group is the replica group that answered.
	Group string
	// Searcher names the searcher that answered.
	Searcher string
	// Version is the back-end version of that searcher.
	Version string
	// Label states what the answer covers.
	Label Label
	// Hits are the results, highest score first.
	Hits []Hit
	// Body is the opaque answer of a non-idempotent request.
	Body []byte
	// Attempts is the number of sends to searchers, hedges included.
	Attempts int
	// Crashed is set when the request broke the connections of a searcher that ran it alone.
	Crashed bool
	// AvailableSnapshots are the labels of the snapshots that the group can serve now.
	AvailableSnapshots []Label
	// Detail explains a refusal to a person.
	Detail string
}

// Result is the outcome of one Request.
type Result struct {
	spec ResultSpec
}

// NewResult returns the immutable Result that spec describes.
func NewResult(spec ResultSpec) Result {
	return Result{spec: spec}
}

// Kind is refusal.None for an answer, otherwise the reason for its absence.
func (r Result) Kind() refusal.Kind { return r.spec.Kind }

// Ran states whether the request ran on a searcher.
func (r Result) Ran() refusal.Ran { return r.spec.Ran }

// Shard names the shard.
func (r Result) Shard() string { return r.spec.Shard }

// Group is the replica group that answered.
func (r Result) Group() string { return r.spec.Group }

// Searcher names the searcher that answered.
func (r Result) Searcher() string { return r.spec.Searcher }

// Version is the back-end version of that searcher.
func (r Result) Version() string { return r.spec.Version }

// Label states what the answer covers.
func (r Result) Label() Label { return r.spec.Label }

// Hits are the results, highest score first.
func (r Result) Hits() []Hit { return r.spec.Hits }

// Body is the opaque answer of a non-idempotent request.
func (r Result) Body() []byte { return r.spec.Body }

// Attempts is the number of sends to searchers, hedges included.
func (r Result) Attempts() int { return r.spec.Attempts }

// Crashed is set when the request broke the connections of a searcher that ran it alone.
func (r Result) Crashed() bool { return r.spec.Crashed }

// AvailableSnapshots are the labels of the snapshots that the group can serve now.
func (r Result) AvailableSnapshots() []Label { return r.spec.AvailableSnapshots }

// Detail explains a refusal to a person.
func (r Result) Detail() string { return r.spec.Detail }
