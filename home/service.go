package home

import (
	"sync"

	"medlaryard.example/medlaryard/catalogue"
)

// service is what the groups of one service share.
type service struct {
	name   string
	budget *budget
	sketch *sketch
	ledger *ledger
	mu     sync.Mutex
	spec   *catalogue.Service
	shares map[string]float64 // By move; a move without a share has none yet.
}

func newService(spec *catalogue.Service) *service {
	return &service{
		name:   spec.Name(),
		budget: newBudget(spec.ExtraBudget()),
		sketch: newSketch(spec.HedgeQuantile()),
		ledger: newLedger(),
		spec:   spec,
		shares: make(map[string]float64),
	}
}

// update installs the catalogue's present description of the service.
func (s *service) update(spec *catalogue.Service) {
	s.budget.setExtra(spec.ExtraBudget())
	s.sketch.setQuantile(spec.HedgeQuantile())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
}

// setShare sets the share of a move, between 0 and 1.
func (s *service) setShare(move string, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares[move] = min(max(share, 0), 1)
}

// moveShare is a move between versions with its present share.
type moveShare struct {
	name, from, to string
	share          float64
}

// moves returns the moves in the order of the catalogue.
func (s *service) moves() []moveShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	moves := make([]moveShare, 0, len(s.spec.Moves()))
	for _, m := range s.spec.Moves() {
		moves = append(moves, moveShare{name: m.Name(), from: m.From(), to: m.To(), share: s.shares[m.Name()]})
	}
	return moves
}

func (s *service) description() *catalogue.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spec
}
