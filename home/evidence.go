package home

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// EvidenceSpec holds the values that NewEvidence takes.
type EvidenceSpec struct {
	// Service is the name of the service.
	Service string
	// Version is the back-end version.
	Version string
	// Route is the kind of request within the service.
	Route string
	// Requests is the number of attempts that ended with a reply or an error since the Set was created.
	Requests uint64
	// Errors is the number of Requests that failed.
	Errors uint64
	// Latency holds the latencies of replies in microseconds.
	Latency *hdrhistogram.Histogram
}

// Evidence holds the request counts and latencies of one version on one route,
// as observed by a Set.
type Evidence struct {
	spec EvidenceSpec
}

// NewEvidence returns the immutable Evidence that spec describes.
func NewEvidence(spec EvidenceSpec) Evidence { return Evidence{spec: spec} }

// Service is the name of the service.
func (e Evidence) Service() string { return e.spec.Service }

// Version is the back-end version.
func (e Evidence) Version() string { return e.spec.Version }

// Route is the kind of request within the service.
func (e Evidence) Route() string { return e.spec.Route }

// Requests is the number of attempts that ended with a reply or an error since the Set was created.
func (e Evidence) Requests() uint64 { return e.spec.Requests }

// Errors is the number of Requests that failed.
func (e Evidence) Errors() uint64 { return e.spec.Errors }

// Latency holds the latencies of replies in microseconds. It is a copy.
func (e Evidence) Latency() *hdrhistogram.Histogram { return e.spec.Latency }
