package searchers

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// Searcher is one simulated search server.
type Searcher struct {
	cfg      Config
	corpus   *Corpus
	clock    clock.Clock
	server   *http.Server
	listener *listener
	slots    chan struct{}

	mu               sync.Mutex
	faults           Faults
	ranWithFaults    int // Requests run since the faults were set.
	boots            int
	cold             bool
	answersSinceCold int           // Answers since the cold start or the last collapse.
	coldSignAt       time.Duration // Clock reading at the first sign of the cold start; 0 before it.
	collapsedUntil   time.Duration // Clock reading until which nothing is answered.
	downUntil        time.Duration
	draining         bool
	drainStart       time.Duration
	inFlight         int
	calls            map[*call]struct{}
	snapshots        []HeldSnapshot
	record           Record
	rng              *rand.Rand
}

// Start starts a searcher that serves until Close. It returns an error if it
// cannot listen on cfg.Address.
func Start(cfg Config, corpus *Corpus) (*Searcher, error) {
	cfg = cfg.withDefaults()
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("searcher %q: %w", cfg.Name, err)
	}
	s := &Searcher{
		cfg:       cfg,
		corpus:    corpus,
		clock:     clock.System{},
		slots:     make(chan struct{}, cfg.Slots),
		boots:     1,
		cold:      cfg.StartCold,
		calls:     make(map[*call]struct{}),
		snapshots: cfg.Snapshots,
		record:    Record{Runs: make(map[string]int)},
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	s.listener = &listener{Listener: l, searcher: s, conns: make(map[*conn]struct{})}
	s.server = &http.Server{Handler: s.handler()}
	go func() { _ = s.server.Serve(s.listener) }()
	return s, nil
}

// Close stops the server and closes its connections.
func (s *Searcher) Close() {
	_ = s.server.Close()
	for _, c := range s.listener.connections() {
		_ = c.Close()
	}
}

// Config returns the configuration with defaults filled in.
func (s *Searcher) Config() Config { return s.cfg }

// Address returns the IP address and port that the searcher listens on.
func (s *Searcher) Address() string { return s.listener.Addr().String() }

// Record returns a copy of the searcher's record.
func (s *Searcher) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.copy()
}

// SetFaults replaces the injected faults.
func (s *Searcher) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults, s.ranWithFaults = f, 0
	s.mu.Unlock()
	if f.Down {
		s.abortConnections()
	}
}

// SetSnapshots replaces the snapshots that the searcher holds, for example to
// announce a new one, to drop an old one or to repartition.
func (s *Searcher) SetSnapshots(held []HeldSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append([]HeldSnapshot(nil), held...)
}

// SetDraining starts or ends a drain, during which the searcher refuses requests.
func (s *Searcher) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.drainStart = draining, s.clock.Boot()
}

// BeginColdStart puts the searcher into a cold start without a restart and without
// a sign that callers could detect.
func (s *Searcher) BeginColdStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold, s.answersSinceCold, s.coldSignAt = true, 0, 0
}

// SilenceConnections makes all open connections permanently silent. New
// connections work.
func (s *Searcher) SilenceConnections() {
	for _, c := range s.listener.connections() {
		c.silent.Store(true)
	}
}

// Crash resets all connections. The searcher restarts in a cold start after
// Config.RestartTime.
func (s *Searcher) Crash() {
	s.mu.Lock()
	s.boots++
	s.cold, s.answersSinceCold, s.coldSignAt = true, 0, s.clock.Boot()
	s.downUntil = s.clock.Boot() + s.cfg.RestartTime
	s.record.Crashes++
	s.mu.Unlock()
	s.abortConnections()
}

func (s *Searcher) abortConnections() {
	for _, c := range s.listener.connections() {
		c.abort()
	}
}

func (s *Searcher) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDownLocked()
}

func (s *Searcher) isDownLocked() bool {
	return s.faults.Down || s.clock.Boot() < s.downUntil
}

func (s *Searcher) recordConnection(accepted bool, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !accepted {
		s.record.RefusedConnections++
		return
	}
	s.record.Connections++
	s.record.PeakConnections = max(s.record.PeakConnections, open)
}

// recordColdSignLocked records that callers can detect the cold start from now on.
func (s *Searcher) recordColdSignLocked() {
	if s.cold && s.coldSignAt == 0 {
		s.coldSignAt = s.clock.Boot()
	}
}

func (s *Searcher) bootIDLocked() string { return fmt.Sprintf("%s-%d", s.cfg.Name, s.boots) }

// randomFault reports whether to inject a fault with the given probability.
func (s *Searcher) randomFault(ratio float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ratio > 0 && s.rng.Float64() < ratio
}
