package shard

import (
	"medlaryard.example/medlaryard/refusal"
)

// ResultSpec holds the values that NewResult takes.
type ResultSpec struct {
	// Kind is refusal.None for an answer, otherwise the reason for the refusal.
	Kind refusal.Kind
	// Ran states whether the request ran on a searcher.
	Ran refusal.Ran
	// Shard is the name of the shard.
	Shard string
	// Group is the id of the replica group that the request was sent to.
	Group string
	// Searcher is the name of the searcher that answered.
	Searcher string
	// Version is the back-end version of that searcher.
	Version string
	// Label identifies the snapshot and the part of it that the answer covers.
	Label Label
	// Hits are the documents found, highest score first.
	Hits []Hit
	// Body is the response body of a non-idempotent request, opaque to this module.
	Body []byte
	// Attempts is the number of sends to searchers, including hedges.
	Attempts int
	// Crashed reports whether the request crashed a searcher: the searcher's connections
	// broke while it ran only this request.
	Crashed bool
	// CrashedAlone reports whether that searcher ran no other request of the home.
	CrashedAlone bool
	// AvailableSnapshots are the labels of the snapshots that the group can serve now.
	AvailableSnapshots []Label
	// Detail is a human-readable explanation of a refusal.
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

// Kind is refusal.None for an answer, otherwise the reason for the refusal.
func (r Result) Kind() refusal.Kind { return r.spec.Kind }

// Ran states whether the request ran on a searcher.
func (r Result) Ran() refusal.Ran { return r.spec.Ran }

// Shard is the name of the shard.
func (r Result) Shard() string { return r.spec.Shard }

// Group is the id of the replica group that the request was sent to.
func (r Result) Group() string { return r.spec.Group }

// Searcher is the name of the searcher that answered.
func (r Result) Searcher() string { return r.spec.Searcher }

// Version is the back-end version of that searcher.
func (r Result) Version() string { return r.spec.Version }

// Label identifies the snapshot and the part of it that the answer covers.
func (r Result) Label() Label { return r.spec.Label }

// Hits are the documents found, highest score first.
func (r Result) Hits() []Hit { return r.spec.Hits }

// Body is the response body of a non-idempotent request, opaque to this module.
func (r Result) Body() []byte { return r.spec.Body }

// Attempts is the number of sends to searchers, including hedges.
func (r Result) Attempts() int { return r.spec.Attempts }

// Crashed reports whether the request crashed a searcher: the searcher's connections
// broke while it ran only this request.
func (r Result) Crashed() bool { return r.spec.Crashed }

// CrashedAlone reports whether the crashed searcher ran no other request of the home. It
// is known at the home only.
func (r Result) CrashedAlone() bool { return r.spec.CrashedAlone }

// AvailableSnapshots are the labels of the snapshots that the group can serve now.
func (r Result) AvailableSnapshots() []Label { return r.spec.AvailableSnapshots }

// Detail is a human-readable explanation of a refusal.
func (r Result) Detail() string { return r.spec.Detail }
