package home

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// EvidenceSpec holds the values that NewEvidence takes.
type EvidenceSpec struct {
	// Service names the service.
	Service string
	// Version is the back-end version.
	Version string
	// Route names the kind of request.
	Route string
	// Requests is the number of attempts that the version answered or failed, since the Set was made.
	Requests uint64
	// Errors is the number of those that failed.
	Errors uint64
	// Latency holds the latencies of answers in microseconds.
	Latency *hdrhistogram.Histogram
}

// Evidence is what a Set has seen of one version on one route.
type Evidence struct {
	spec EvidenceSpec
}

// NewEvidence returns the immutable Evidence that spec describes.
func NewEvidence(spec EvidenceSpec) Evidence { return Evidence{spec: spec} }

// Service names the service.
func (e Evidence) Service() string { return e.spec.Service }

// Version is the back-end version.
func (e Evidence) Version() string { return e.spec.Version }

// Route names the kind of request.
func (e Evidence) Route() string { return e.spec.Route }

// Requests is the number of attempts that the version answered or failed, since the Set was made.
func (e Evidence) Requests() uint64 { return e.spec.Requests }

// Errors is the number of those that failed.
func (e Evidence) Errors() uint64 { return e.spec.Errors }

// Latency holds the latencies of answers in microseconds. It is a copy.
func (e Evidence) Latency() *hdrhistogram.Histogram { return e.spec.Latency }
