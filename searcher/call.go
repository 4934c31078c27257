package searcher

import (
	"time"

	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// CallSpec holds the values that NewCall takes.
type CallSpec struct {
	// ID identifies the request in the reply and in a cancellation.
	ID string
	// Shard names the shard that must answer.
	Shard string
	// Route names the kind of request within the service.
	Route string
	// Snapshot is the snapshot that must answer; 0 accepts any.
	Snapshot uint64
	// Limit is the highest number of hits; 0 leaves it to the searcher.
	Limit int
	// Announced is what the searcher announced for Snapshot; nil when unknown.
	Announced *shard.Label
	// Deadline is the reading of clock.Clock.Boot at which the call ends.
	Deadline time.Duration
	// Patience is the time without a byte of reply after which the connection
	// is tested; 0 never tests.
	Patience time.Duration
	// Run marks a non-idempotent request.
	Run bool
	// Body is the opaque request.
	Body []byte
	// Permit is asked immediately before the first byte is written; a refusal
	// ends the call as not run. Nil permits.
	Permit func() *refusal.Error
	// OnSilent is called when Patience has passed and a new connection to the
	// searcher works. Nil ignores it.
	OnSilent func()
}

// Call is one request to one searcher.
type Call struct {
	spec CallSpec
}

// NewCall returns the immutable Call that spec describes.
func NewCall(spec CallSpec) Call { return Call{spec: spec} }

// ID identifies the request in the reply and in a cancellation.
func (c Call) ID() string { return c.spec.ID }

// Shard names the shard that must answer.
func (c Call) Shard() string { return c.spec.Shard }

// Route names the kind of request within the service.
func (c Call) Route() string { return c.spec.Route }

// Snapshot is the snapshot that must answer; 0 accepts any.
func (c Call) Snapshot() uint64 { return c.spec.Snapshot }

// Limit is the highest number of hits; 0 leaves it to the searcher.
func (c Call) Limit() int { return c.spec.Limit }

// Announced is what the searcher announced for Snapshot; nil when unknown.
func (c Call) Announced() *shard.Label { return c.spec.Announced }

// Deadline is the reading of clock.Clock.Boot at which the call ends.
func (c Call) Deadline() time.Duration { return c.spec.Deadline }

// Patience is the time without a byte of reply after which the connection is tested.
func (c Call) Patience() time.Duration { return c.spec.Patience }

// Run marks a non-idempotent request.
func (c Call) Run() bool { return c.spec.Run }

// Body is the opaque request.
func (c Call) Body() []byte { return c.spec.Body }

// Permit returns a refusal when the call must not be sent any more.
func (c Call) Permit() *refusal.Error {
	if c.spec.Permit == nil {
		return nil
	}
	return c.spec.Permit()
}

// ReportSilent reports that the connection of the call is silent though the searcher answers.
func (c Call) ReportSilent() {
	if c.spec.OnSilent != nil {
		c.spec.OnSilent()
	}
}
