package shard

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// RequestSpec holds the values that NewRequest takes.
type RequestSpec struct {
	// ID identifies the caller's request.
	ID string
	// Owner is the name of the owner that sent the request.
	Owner string
	// Class is the service class of the request.
	Class catalogue.Class
	// Service is the name of the service.
	Service string
	// Shard is the name of the shard.
	Shard string
	// Group is the id of the replica group, see catalogue.Group.
	Group string
	// Route is the kind of request within the service.
	Route string
	// Snapshot is the snapshot to search; 0 accepts any.
	Snapshot uint64
	// Limit is the highest number of hits to return.
	Limit int
	// Deadline is the time until which the result is useful, as a reading of clock.Clock.Boot.
	Deadline time.Duration
	// Idempotent allows hedges, and retries after an unknown outcome.
	Idempotent bool
	// Fingerprint is the hash of service, route and body.
	Fingerprint uint64
	// Suspect forbids hedges and retries, because an equal request crashed a searcher.
	Suspect bool
	// Acting marks a request sent to an acting home because the home is unreachable.
	Acting bool
	// Body is the request body, opaque to this module.
	Body []byte
}

// Request is one sub-request to one replica group.
type Request struct {
	spec RequestSpec
}

// NewRequest returns the immutable Request that spec describes.
func NewRequest(spec RequestSpec) Request {
	return Request{spec: spec}
}

// ID identifies the caller's request.
func (r Request) ID() string { return r.spec.ID }

// Owner is the name of the owner that sent the request.
func (r Request) Owner() string { return r.spec.Owner }

// Class is the service class of the request.
func (r Request) Class() catalogue.Class { return r.spec.Class }

// Service is the name of the service.
func (r Request) Service() string { return r.spec.Service }

// Shard is the name of the shard.
func (r Request) Shard() string { return r.spec.Shard }

// Group is the id of the replica group, see catalogue.Group.
func (r Request) Group() string { return r.spec.Group }

// Route is the kind of request within the service.
func (r Request) Route() string { return r.spec.Route }

// Snapshot is the snapshot to search; 0 accepts any.
func (r Request) Snapshot() uint64 { return r.spec.Snapshot }

// Limit is the highest number of hits to return.
func (r Request) Limit() int { return r.spec.Limit }

// Deadline is the time until which the result is useful, as a reading of clock.Clock.Boot.
func (r Request) Deadline() time.Duration { return r.spec.Deadline }

// Idempotent allows hedges, and retries after an unknown outcome.
func (r Request) Idempotent() bool { return r.spec.Idempotent }

// Fingerprint is the hash of service, route and body.
func (r Request) Fingerprint() uint64 { return r.spec.Fingerprint }

// Suspect forbids hedges and retries, because an equal request crashed a searcher.
func (r Request) Suspect() bool { return r.spec.Suspect }

// Acting marks a request sent to an acting home because the home is unreachable.
func (r Request) Acting() bool { return r.spec.Acting }

// Body is the request body, opaque to this module.
func (r Request) Body() []byte { return r.spec.Body }
