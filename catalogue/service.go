package catalogue

import (
	"fmt"
	"time"
)

// ServiceSpec holds the values that NewService takes.
type ServiceSpec struct {
	EntrySpec
	// Shards are the shards, in catalogue order; an unsharded service has one.
	Shards []*Shard
	// Policy selects the load policy.
	Policy Policy
	// GroupSize is the maximum number of searchers in one replica group.
	GroupSize int
	// MaxDeadline is the longest deadline that a caller may request.
	MaxDeadline time.Duration
	// HedgeQuantile is the quantile of the service's latency after which a hedge is sent.
	HedgeQuantile float64
	// ExtraBudget is the maximum fraction of sub-requests that are hedges or retries.
	ExtraBudget float64
	// PatienceFactor is multiplied by the hedge latency to give the time after which a
	// silent connection is probed.
	PatienceFactor float64
	// NonIdempotent permits non-idempotent requests to the service.
	NonIdempotent bool
	// Moves are the version moves of the service, in catalogue order.
	Moves []*Move
}

// Service is a search index or record service that is divided into shards.
type Service struct {
	Entry
	spec ServiceSpec
}

// NewService returns the immutable Service that spec describes.
func NewService(spec ServiceSpec) *Service {
	return &Service{Entry: NewEntry(spec.EntrySpec), spec: spec}
}

// Shards are the shards, in catalogue order; an unsharded service has one.
func (s *Service) Shards() []*Shard { return s.spec.Shards }

// Policy selects the load policy.
func (s *Service) Policy() Policy { return s.spec.Policy }

// GroupSize is the maximum number of searchers in one replica group.
func (s *Service) GroupSize() int { return s.spec.GroupSize }

// MaxDeadline is the longest deadline that a caller may request.
func (s *Service) MaxDeadline() time.Duration { return s.spec.MaxDeadline }

// HedgeQuantile is the quantile of the service's latency after which a hedge is sent.
func (s *Service) HedgeQuantile() float64 { return s.spec.HedgeQuantile }

// ExtraBudget is the maximum fraction of sub-requests that are hedges or retries.
func (s *Service) ExtraBudget() float64 { return s.spec.ExtraBudget }

// PatienceFactor is multiplied by the hedge latency to give the time after which a
// silent connection is probed.
func (s *Service) PatienceFactor() float64 { return s.spec.PatienceFactor }

// NonIdempotent permits non-idempotent requests to the service.
func (s *Service) NonIdempotent() bool { return s.spec.NonIdempotent }

// Moves are the version moves of the service, in catalogue order.
func (s *Service) Moves() []*Move { return s.spec.Moves }

// Groups splits every shard into replica groups of at most GroupSize searchers.
func (s *Service) Groups() []Group {
	var groups []Group
	for _, sh := range s.spec.Shards {
		groups = append(groups, splitShard(s, sh)...)
	}
	return groups
}

func splitShard(s *Service, sh *Shard) []Group {
	size := max(1, s.spec.GroupSize)
	var groups []Group
	searchers := sh.Searchers()
	for i := 0; i < len(searchers); i += size {
		groups = append(groups, NewGroup(GroupSpec{
			ID:        fmt.Sprintf("%s/%s/%d", s.Name(), sh.Name(), i/size),
			Service:   s.Name(),
			Shard:     sh.Name(),
			Searchers: searchers[i:min(i+size, len(searchers))],
		}))
	}
	return groups
}
