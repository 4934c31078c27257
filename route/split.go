package route

import "sync"

// weightedSplit divides requests among services by smooth weighted round robin.
// Each request adds the weights to the credits of the services; the service
// with the greatest credit gets the request and loses the sum of all weights.
// The shares are thus right over short spans too.
type weightedSplit struct {
	services []string
	weights  []float64
	total    float64

	mu     sync.Mutex
	credit []float64
}

func newSplit(services []string, weights []float64) *weightedSplit {
	s := &weightedSplit{services: services, weights: weights, credit: make([]float64, len(services))}
	for _, w := range weights {
		s.total += w
	}
	return s
}

func (s *weightedSplit) next() string {
	if len(s.services) == 1 {
		return s.services[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, w := range s.weights {
		s.credit[i] += w
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.services[best]
}

func (s *weightedSplit) names() []string {
	if s == nil {
		return nil
	}
	return s.services
}
