package searcher

import "medlaryard.example/medlaryard/shard"

// ReplySpec holds the values that NewReply takes.
type ReplySpec struct {
	// Version is the back-end version that answered.
	Version string
	// Label states what the reply covers.
	Label shard.Label
	// Hits are the results, highest score first.
	Hits []shard.Hit
	// Body is the opaque answer of a non-idempotent request.
	Body []byte
}

// Reply is a checked answer of a searcher.
type Reply struct {
	spec ReplySpec
}

// NewReply returns the immutable Reply that spec describes.
func NewReply(spec ReplySpec) Reply { return Reply{spec: spec} }

// Version is the back-end version that answered.
func (r Reply) Version() string { return r.spec.Version }

// Label states what the reply covers.
func (r Reply) Label() shard.Label { return r.spec.Label }

// Hits are the results, highest score first.
func (r Reply) Hits() []shard.Hit { return r.spec.Hits }

// Body is the opaque answer of a non-idempotent request.
func (r Reply) Body() []byte { return r.spec.Body }
