package route

import "time"

// Service is a group of targets that answer the same requests, such as one
// shard of an index.
type Service struct {
	name           string
	maxConnections int
	warmUp         time.Duration
	warmUpRate     float64
	healthPath     string
}

// NewService returns a service whose targets each accept maxConnections
// connections from all daemons together. A target is cold for warmUp after its
// start; while it is cold, all daemons together may send it warmUpRate requests
// per second. A rate of 0 means no limit.
func NewService(name string, maxConnections int, warmUp time.Duration, warmUpRate float64) *Service {
	return &Service{name: name, maxConnections: maxConnections, warmUp: warmUp, warmUpRate: warmUpRate}
}

// WithHealthPath sets the path at which a target states how long it is cold, and
// returns s.
func (s *Service) WithHealthPath(path string) *Service {
	s.healthPath = path
	return s
}

// HealthPath returns the path at which a target states how long it is cold, or "".
func (s *Service) HealthPath() string { return s.healthPath }

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// MaxConnections returns how many connections a target accepts from all daemons
// together.
func (s *Service) MaxConnections() int { return s.maxConnections }

// WarmUp returns how long a target is cold after its start.
func (s *Service) WarmUp() time.Duration { return s.warmUp }

// WarmUpRate returns the limit on requests per second to a cold target from all
// daemons together; 0 means no limit.
func (s *Service) WarmUpRate() float64 { return s.warmUpRate }
