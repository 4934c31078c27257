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

// Searcher is one target server.
type Searcher struct {
	cfg      Config
	corpus   *Corpus
	clock    clock.Clock
	server   *http.Server
	listener *listener
	slots    chan struct{}

	mu        sync.Mutex
	faults    Faults
	ran       int // Requests run since the faults are in force.
	boots     int
	cold      bool
	warmed    int           // Answers since the cold start.
	noticed   time.Duration // First sign of the cold start, 0 before it.
	collapsed time.Duration // Nothing is answered until this reading of the clock.
	downUntil time.Duration
	draining  bool
	drainedAt time.Duration
	inFlight  int
	calls     map[*call]struct{}
	snapshots []Held
	record    Record
	rng       *rand.Rand
}

// Start listens and serves until Close.
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
	s.listener = &listener{Listener: l, s: s, conns: make(map[*conn]struct{})}
	s.server = &http.Server{Handler: s.handler()}
	go func() { _ = s.server.Serve(s.listener) }()
	return s, nil
}

// Close stops the server and breaks its connections.
func (s *Searcher) Close() {
	_ = s.server.Close()
	for _, c := range s.listener.all() {
		_ = c.Close()
	}
}

// Config returns the configuration with defaults filled in.
func (s *Searcher) Config() Config { return s.cfg }

// Address returns the IP address and port that the searcher listens on.
func (s *Searcher) Address() string { return s.listener.Addr().String() }

// Record returns what the searcher experienced so far.
func (s *Searcher) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.copy()
}

// SetFaults replaces the faults in force.
func (s *Searcher) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults, s.ran = f, 0
	s.mu.Unlock()
	if f.Down {
		s.abortConnections()
	}
}

// SetSnapshots replaces the snapshots that the searcher holds, for example to
// announce a new one, to drop an old one or to repartition.
func (s *Searcher) SetSnapshots(held []Held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append([]Held(nil), held...)
}

// Drain begins to refuse work, or ends that.
func (s *Searcher) Drain(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.drainedAt = draining, s.clock.Boot()
}

// Chill puts the searcher into a cold start without a restart.
func (s *Searcher) Chill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold, s.warmed, s.noticed = true, 0, 0
}

// Silence makes all connections that are established now silent for good.
func (s *Searcher) Silence() {
	for _, c := range s.listener.all() {
		c.silent.Store(true)
	}
}

// Crash breaks all connections and restarts cold after Config.RestartTime.
func (s *Searcher) Crash() {
	s.mu.Lock()
	s.boots++
	s.cold, s.warmed, s.noticed = true, 0, s.clock.Boot()
	s.downUntil = s.clock.Boot() + s.cfg.RestartTime
	s.record.Crashes++
	s.mu.Unlock()
	s.abortConnections()
}

func (s *Searcher) abortConnections() {
	for _, c := range s.listener.all() {
		c.abort()
	}
}

func (s *Searcher) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.downLocked()
}

func (s *Searcher) downLocked() bool {
	return s.faults.Down || s.clock.Boot() < s.downUntil
}

func (s *Searcher) connected(accepted bool, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !accepted {
		s.record.RefusedConnections++
		return
	}
	s.record.Connections++
	s.record.PeakConnections = max(s.record.PeakConnections, open)
}

// noticeLocked records a sign of the cold start that the other side receives now.
func (s *Searcher) noticeLocked() {
	if s.cold && s.noticed == 0 {
		s.noticed = s.clock.Boot()
	}
}

func (s *Searcher) bootLocked() string { return fmt.Sprintf("%s-%d", s.cfg.Name, s.boots) }

// chance draws a random fault.
func (s *Searcher) chance(ratio float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ratio > 0 && s.rng.Float64() < ratio
}
