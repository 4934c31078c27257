package searcher

import (
	"time"

	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// CallSpec holds the values of a Call.
type CallSpec struct {
	// ID identifies the call in the reply and in a cancellation. No other call to the
	// searcher may have it.
	ID string
	// Shard is the name of the shard that must answer.
	Shard string
	// Route is the kind of request within the service.
	Route string
	// Snapshot is the snapshot that must answer; 0 accepts any.
	Snapshot uint64
	// Limit is the maximum number of hits; 0 leaves it to the searcher.
	Limit int
	// ExpectedLabel is the label that the reply must have, as the searcher announced
	// it for Snapshot; nil if unknown.
	ExpectedLabel *shard.Label
	// Deadline is when the call ends, as a reading of clock.Clock.Boot.
	Deadline time.Duration
	// Patience is how long to wait for the first byte of the reply before the
	// searcher is tested over a new connection; 0 disables the test.
	Patience time.Duration
	// Run marks a non-idempotent request.
	Run bool
	// Body is the request body, which this package does not interpret.
	Body []byte
	// Permit is called immediately before the first byte is written. If it
	// returns a refusal, the call fails as not run. Nil permits every call.
	Permit func() *refusal.Error
	// OnSilent is called when Patience has passed without a reply but the
	// searcher answers over a new connection. It may be nil.
	OnSilent func()
}

// Call is one request to one searcher.
type Call struct {
	spec CallSpec
}

// NewCall returns an immutable Call with the values of spec.
func NewCall(spec CallSpec) Call { return Call{spec: spec} }

// ID returns the id of the request, used in the reply and in a cancellation.
func (c Call) ID() string { return c.spec.ID }

// Shard returns the name of the shard that must answer.
func (c Call) Shard() string { return c.spec.Shard }

// Route returns the kind of request within the service.
func (c Call) Route() string { return c.spec.Route }

// Snapshot returns the snapshot that must answer; 0 accepts any.
func (c Call) Snapshot() uint64 { return c.spec.Snapshot }

// Limit returns the maximum number of hits; 0 leaves it to the searcher.
func (c Call) Limit() int { return c.spec.Limit }

// ExpectedLabel returns the label that the reply must have, as the searcher
// announced it for Snapshot, or nil if unknown.
func (c Call) ExpectedLabel() *shard.Label { return c.spec.ExpectedLabel }

// Deadline returns when the call ends, as a reading of clock.Clock.Boot.
func (c Call) Deadline() time.Duration { return c.spec.Deadline }

// Patience returns how long to wait for the first byte of the reply before the
// searcher is tested over a new connection; 0 disables the test.
func (c Call) Patience() time.Duration { return c.spec.Patience }

// Run reports whether the request is non-idempotent.
func (c Call) Run() bool { return c.spec.Run }

// Body returns the request body.
func (c Call) Body() []byte { return c.spec.Body }

// Permit returns a refusal if the call must no longer be sent, or nil.
func (c Call) Permit() *refusal.Error {
	if c.spec.Permit == nil {
		return nil
	}
	return c.spec.Permit()
}

// ReportSilent calls OnSilent, if set: the connection of the call is silent
// although the searcher answers over a new one.
func (c Call) ReportSilent() {
	if c.spec.OnSilent != nil {
		c.spec.OnSilent()
	}
}
