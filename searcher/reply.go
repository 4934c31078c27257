package searcher

import "medlaryard.example/medlaryard/shard"

// ReplySpec holds the values of a Reply.
type ReplySpec struct {
	// Version is the back-end version that sent the reply.
	Version string
	// Boot identifies the searcher process as in its health replies; empty if the
	// reply does not name it.
	Boot string
	// Label describes the snapshot and the range that the reply covers.
	Label shard.Label
	// Hits are the results, ordered by descending score.
	Hits []shard.Hit
	// Body is the result of a non-idempotent request, which this package does
	// not interpret.
	Body []byte
}

// Reply is the checked reply of a searcher.
type Reply struct {
	spec ReplySpec
}

// NewReply returns an immutable Reply with the values of spec.
func NewReply(spec ReplySpec) Reply { return Reply{spec: spec} }

// Version returns the back-end version that sent the reply.
func (r Reply) Version() string { return r.spec.Version }

// Boot returns the id of the searcher process that sent the reply, or "".
func (r Reply) Boot() string { return r.spec.Boot }

// Label returns the snapshot and the range that the reply covers.
func (r Reply) Label() shard.Label { return r.spec.Label }

// Hits returns the results, ordered by descending score.
func (r Reply) Hits() []shard.Hit { return r.spec.Hits }

// Body returns the result of a non-idempotent request.
func (r Reply) Body() []byte { return r.spec.Body }
