package route

import "sync"

// split divides requests among services by smooth weighted round robin: the
// service with the greatest credit is next and pays the sum of all weights, so
// the shares are right over any short span.
type split struct {
	services []string
	weights  []float64
	total    float64

	mu     sync.Mutex
	credit []float64
}

func newSplit(services []string, weights []float64) *split {
	s := &split{services: services, weights: weights, credit: make([]float64, len(services))}
	for _, w := range weights {
		s.total += w
	}
	return s
}

func (s *split) next() string {
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

func (s *split) names() []string {
	if s == nil {
		return nil
	}
	return s.services
}
