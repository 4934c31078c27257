package home

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/searcher"
	"medlaryard.example/medlaryard/shard"
)

// Set holds all homes of a daemon. It is safe for concurrent use.
type Set struct {
	clock     clock.Clock
	newTarget func(*catalogue.Searcher) *searcher.Target
	leaseEnd  func() time.Duration
	onCrash   func(request, searcher uint64)

	randomMu sync.Mutex
	random   *rand.Rand

	mu         sync.RWMutex
	groups     map[string]*group
	services   map[string]*service
	imported   map[string]importedEstimates  // By group id; for groups that are not assigned yet.
	moveShares map[string]map[string]float64 // By service name and move name.
	closed     bool
}

// NewSet returns a Set without homes.
func NewSet(opts ...SetOption) *Set {
	s := &Set{
		clock:      clock.System{},
		leaseEnd:   func() time.Duration { return noLeaseEnd },
		onCrash:    func(uint64, uint64) {},
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		groups:     make(map[string]*group),
		services:   make(map[string]*service),
		imported:   make(map[string]importedEstimates),
		moveShares: make(map[string]map[string]float64),
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.newTarget == nil {
		s.newTarget = func(t *catalogue.Searcher) *searcher.Target {
			return searcher.NewHTTPTarget(t, searcher.WithClock(s.clock))
		}
	}
	return s
}

// Do runs a request at its home and waits for the result. The result arrives no
// later than the request's deadline; it arrives early when ctx ends.
func (s *Set) Do(ctx context.Context, req shard.Request) shard.Result {
	result := make(chan shard.Result, 1)
	g, t := s.start(req, func(r shard.Result) { result <- r })
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		if g != nil {
			g.cancel(t)
		}
		return <-result
	}
}

// start passes a request to its group. It calls reply exactly once; reply must
// not block. The returned group and task are nil when this daemon is not home
// of the request's group.
func (s *Set) start(req shard.Request, reply func(shard.Result)) (*group, *task) {
	g := s.group(req.Group())
	if g == nil {
		reply(notHomeResult(req))
		return nil, nil
	}
	return g, g.start(req, reply)
}

func notHomeResult(req shard.Request) shard.Result {
	return shard.NewResult(shard.ResultSpec{
		Kind: refusal.NotHome, Ran: refusal.NotRun, Shard: req.Shard(), Group: req.Group(),
		Detail: "daemon is not home of group " + req.Group(),
	})
}

// AvailableSnapshots returns the labels of the snapshots that the group can
// serve now, newest first.
func (s *Set) AvailableSnapshots(group string) []shard.Label {
	g := s.group(group)
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.availableSnapshots()
}

// Evidence returns the request counts and latencies of each service, version
// and route since the Set was created.
func (s *Set) Evidence() []Evidence {
	var all []Evidence
	for _, svc := range s.serviceList() {
		all = append(all, svc.evidence.list(svc.name)...)
	}
	return all
}

// SetMoveShare sets the share of traffic, 0 to 1, that the new version of a
// move may receive. A share of 0 stops new work on that version at once. The
// service need not be assigned yet.
func (s *Set) SetMoveShare(service, move string, share float64) {
	s.mu.Lock()
	if s.moveShares[service] == nil {
		s.moveShares[service] = make(map[string]float64)
	}
	s.moveShares[service][move] = share
	svc := s.services[service]
	s.mu.Unlock()
	if svc == nil {
		return
	}
	svc.setShare(move, share)
	for _, g := range s.groupList() {
		if g.service == svc {
			g.updateCredits()
		}
	}
}

// Close refuses all queued requests, closes the connections and waits until no
// request is in flight.
func (s *Set) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, g := range s.groupList() {
		g.shutDown()
		<-g.drained()
	}
}

func (s *Set) group(id string) *group {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.groups[id]
}

func (s *Set) groupList() []*group {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]*group, 0, len(s.groups))
	for _, g := range s.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int { return strings.Compare(a.id, b.id) })
	return list
}

func (s *Set) serviceList() []*service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]*service, 0, len(s.services))
	for _, svc := range s.services {
		list = append(list, svc)
	}
	slices.SortFunc(list, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	return list
}

// jitter returns d changed by up to 10% at random, so that the health requests
// of many daemons do not coincide.
func (s *Set) jitter(d time.Duration) time.Duration {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	const divisor = 10
	return d - d/divisor + time.Duration(s.random.Int64N(int64(2*d/divisor)))
}
