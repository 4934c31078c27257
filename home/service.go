package home

import (
	"sync"

	"medlaryard.example/medlaryard/catalogue"
)

// service is the state that all groups of one service share.
type service struct {
	name       string
	budget     *budget
	latency    *latencyWindow
	evidence   *evidenceTable
	mu         sync.Mutex
	spec       *catalogue.Service
	moveShares map[string]float64 // By move name; a move without an entry has share 0.
}

func newService(spec *catalogue.Service) *service {
	return &service{
		name:       spec.Name(),
		budget:     newBudget(spec.ExtraBudget()),
		latency:    newLatencyWindow(spec.HedgeQuantile()),
		evidence:   newEvidenceTable(),
		spec:       spec,
		moveShares: make(map[string]float64),
	}
}

// update installs the current catalogue entry of the service.
func (s *service) update(spec *catalogue.Service) {
	s.budget.setExtra(spec.ExtraBudget())
	s.latency.setQuantile(spec.HedgeQuantile())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
}

// setShare sets the share of a move, clamped to the range 0 to 1.
func (s *service) setShare(move string, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveShares[move] = min(max(share, 0), 1)
}

// moveShare is a move between two versions and its current share.
type moveShare struct {
	name, from, to string
	share          float64
}

// moves returns the service's moves in catalogue order.
func (s *service) moves() []moveShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	moves := make([]moveShare, 0, len(s.spec.Moves()))
	for _, m := range s.spec.Moves() {
		moves = append(moves, moveShare{name: m.Name(), from: m.From(), to: m.To(), share: s.moveShares[m.Name()]})
	}
	return moves
}

func (s *service) currentSpec() *catalogue.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spec
}
