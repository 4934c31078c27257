package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/platform/platformtest"
	"medlaryard.example/medlaryard/standin/metastore"
	"medlaryard.example/medlaryard/standin/shards"
)

const (
	guardAddress = "127.0.90.1:27999"

	hostName   = "songs.example"
	shardCount = 6
	// minShards is the number of parts that a successful response must have.
	minShards  = 5
	topRecords = 10
	// extraRatio and extraSlack are the extra_sends settings of the daemons.
	extraRatio = 0.2
	extraSlack = 54
	// settleTime is the time after an unplanned fault until the guarantees hold
	// again.
	settleTime = 4 * time.Second
	// recoveryTimeout bounds the time from the last fault until all daemons serve
	// again.
	recoveryTimeout = 12 * time.Second
)

// Soak is the state of one run.
type Soak struct {
	out     io.Writer
	store   *metastore.Store
	server  *http.Server
	guard   net.Listener // Held during a run, because runs use the same addresses.
	daemons []*process
	targets []*proxiedTarget
	faults  []fault // The kinds that are injected.

	mu              sync.Mutex
	rng             *rand.Rand
	version         int
	config          any             // Latest configuration that was written.
	initial         *metastore.Copy // The store before the daemons started.
	outcomes        []outcome
	unplannedFaults []interval
}

// interval is the time span of an unplanned fault.
type interval struct{ start, end time.Time }

// proxiedTarget is a target that daemons reach through a proxy.
type proxiedTarget struct {
	*shards.Target
	proxy    *proxy
	listener net.Listener
	zone     string
	entry    any // Entry in the store.
}

func healthyBehaviour() shards.Behaviour {
	return shards.NewBehaviour(3*time.Millisecond, shards.Slots(4), shards.ServiceTimeSpread(0.3))
}

// Config is the configuration of a run.
type Config struct {
	binary        string
	dir           string
	daemons       int
	faultDuration time.Duration
	applyTimeout  time.Duration
	only          string
}

// NewConfig returns the configuration of a run. binary is the path of the daemon,
// dir the directory for its settings and logs, and daemons the number of processes.
// Run injects faults for faultDuration. applyTimeout bounds the time in which a new
// configuration must take effect on all daemons once the faults have ended.
func NewConfig(binary, dir string, daemons int, faultDuration, applyTimeout time.Duration) Config {
	return Config{binary: binary, dir: dir, daemons: daemons, faultDuration: faultDuration, applyTimeout: applyTimeout}
}

// Only returns the configuration with one kind of fault, by its name. An empty name
// means all kinds.
func (c Config) Only(name string) Config {
	c.only = name
	return c
}

// Run injects the faults that seed determines and returns the violations of the
// guarantees. It logs the faults and the results to out. It returns an error if the
// setup fails.
func Run(cfg Config, seed int64, out io.Writer) ([]string, error) {
	s := &Soak{out: out, store: metastore.New(50), rng: rand.New(rand.NewSource(seed))}
	defer s.close()
	if s.faults = faultsNamed(cfg.only); len(s.faults) == 0 {
		return nil, fmt.Errorf("there is no fault named %q", cfg.only)
	}
	if err := s.start(cfg); err != nil {
		return nil, err
	}
	if !s.waitUntilServing(recoveryTimeout) {
		return []string{fmt.Sprintf("not all daemons serve requests within %v of their start", recoveryTimeout)}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 2 * cfg.daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.newCaller(seed*1000+int64(i)).run(ctx, fmt.Sprintf("s%d-c%d", seed, i))
		}()
	}
	s.injectFaults(cfg.faultDuration)
	var violations []string
	if !s.waitUntilServing(recoveryTimeout) {
		violations = append(violations, fmt.Sprintf("not all daemons serve requests within %v of the last fault", recoveryTimeout))
	}
	time.Sleep(settleTime)
	violations = append(violations, s.checkRegistered()...)
	violations = append(violations, s.checkApply(cfg.applyTimeout)...)
	violations = append(violations, s.checkWithdrawal(cfg.applyTimeout)...)
	cancel()
	wg.Wait()
	time.Sleep(requestTimeout) // A refused request that is still queued by mistake runs within this time.
	return append(violations, s.checkOutcomes()...), nil
}

// start starts the store, the targets and the daemons.
func (s *Soak) start(cfg Config) error {
	guard, err := net.Listen("tcp4", guardAddress)
	if err != nil {
		return fmt.Errorf("another run seems to be under way: %w", err)
	}
	s.guard = guard
	l, err := net.Listen("tcp4", "127.0.90.1:0")
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s.store.Handler()}
	go func() { _ = s.server.Serve(l) }() // Returns when close closes the server.
	e := shards.New(s.rng.Int63())
	for i := range shardCount {
		for j := range 2 {
			if err := s.addTarget(e, fmt.Sprintf("shard%d", i), j); err != nil {
				return err
			}
		}
	}
	for j := range 3 {
		if err := s.addTarget(e, "plays", j); err != nil {
			return err
		}
	}
	s.putConfig()
	s.initial = s.store.Copy()
	seeds := fmt.Sprintf(`"127.0.92.1:%d", "127.0.92.2:%[1]d"`, operatorsPort)
	for i := range cfg.daemons {
		p, err := newProxy("127.0.93.1:0", l.Addr().String())
		if err != nil {
			return err
		}
		d := &process{name: fmt.Sprintf("d%d", i+1), ip: fmt.Sprintf("127.0.92.%d", i+1), binary: cfg.binary, storeProxy: p}
		if err := d.writeSettings(cfg.dir, seeds); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	return nil
}

func (s *Soak) addTarget(e *shards.Emulator, service string, n int) error {
	id := fmt.Sprintf("%s-%d", service, n)
	l, err := net.Listen("tcp4", "127.0.91.1:0")
	if err != nil {
		return err
	}
	t := e.Add(id, healthyBehaviour())
	go func() { _ = t.Serve(l) }() // Returns when close closes the listener.
	p, err := newProxy("127.0.91.2:0", l.Addr().String())
	if err != nil {
		return err
	}
	zone := []string{"a", "b"}[n%2]
	entry := platformtest.NewTarget(service, p.address(), zone, 4).Object()
	s.targets = append(s.targets, &proxiedTarget{Target: t, proxy: p, listener: l, zone: zone, entry: entry})
	s.store.Put(platform.KindTargets, id, entry)
	return nil
}

func (s *Soak) randIntn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Intn(n)
}

// injectFaults starts random faults for the given time, up to three at once, and
// waits until they end.
func (s *Soak) injectFaults(duration time.Duration) {
	const maxConcurrent = 3
	slots := make(chan struct{}, maxConcurrent)
	var wg sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		slots <- struct{}{}
		f := s.faults[s.randIntn(len(s.faults))]
		d := time.Duration(300+s.randIntn(2500)) * time.Millisecond
		fmt.Fprintf(s.out, "%s %s for %v\n", time.Now().Format("15:04:05.000"), f.name, d)
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.runFault(f, d)
			<-slots
		}()
		time.Sleep(time.Duration(s.randIntn(1200)) * time.Millisecond)
	}
	wg.Wait()
}

// runFault injects f for d and records the interval in which an unplanned fault may
// cut off requests. The interval ends d after inject returns, because some faults
// outlast inject.
func (s *Soak) runFault(f fault, d time.Duration) {
	start := time.Now()
	if !f.planned {
		s.mu.Lock()
		s.unplannedFaults = append(s.unplannedFaults, interval{start, start.Add(time.Hour)})
		i := len(s.unplannedFaults) - 1
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			s.unplannedFaults[i].end = time.Now().Add(d)
			s.mu.Unlock()
		}()
	}
	f.inject(s, d)
}

func (s *Soak) record(o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
}

// waitUntilServing waits until every daemon answers a request of each kind. It
// returns false on timeout.
func (s *Soak) waitUntilServing(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ok := true
		for i, d := range s.daemons {
			c := s.newCaller(0)
			id := fmt.Sprintf("probe-%d-%d", i, time.Now().UnixNano())
			address := fmt.Sprintf("%s:%d", d.ip, callersPort)
			ok = ok && c.send(address, id, false).status == 200 && c.send(address, id+"p", true).status == 200
			c.client.CloseIdleConnections()
		}
		if ok {
			return true
		}
	}
	return false
}

// checkApply changes the configuration and returns the daemons that do not apply it
// in time.
func (s *Soak) checkApply(within time.Duration) []string {
	s.putConfig()
	start := time.Now()
	path := fmt.Sprintf("/extra%d/1", s.version)
	var violations []string
	for _, d := range s.daemons {
		for s.requestStatus(d.ip, path) != http.StatusOK {
			if time.Since(start) > within {
				violations = append(violations, fmt.Sprintf("%s has not applied the new configuration after %v", d.name, within))
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	fmt.Fprintf(s.out, "configuration in force after %v\n", time.Since(start).Round(time.Millisecond))
	return violations
}

// requestStatus requests path from a daemon and returns the status, or 0 without a
// response.
func (s *Soak) requestStatus(ip, path string) int {
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", ip, callersPort, path), nil)
	if err != nil {
		return 0
	}
	req.Host = hostName
	req.Header.Set(platform.HeaderRequestID, fmt.Sprintf("a-%d", time.Now().UnixNano()))
	req.Header.Set(platform.HeaderDeadline, "2000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkOutcomes returns the violations that the outcomes of all requests show, and
// those that the daemon processes recorded.
func (s *Soak) checkOutcomes() []string {
	runs := make(map[string]int)
	for _, t := range s.targets {
		for id, n := range t.Runs() {
			runs[id] += n
		}
	}
	var violations []string
	statuses := make(map[int]int)
	for _, o := range s.outcomes {
		statuses[o.status]++
		violations = append(violations, s.checkOutcome(o, runs[o.id])...)
	}
	for _, d := range s.daemons {
		violations = append(violations, d.recordedViolations()...)
	}
	fmt.Fprintf(s.out, "%d requests, by status: %v\n", len(s.outcomes), statuses)
	slices.Sort(violations)
	return slices.Compact(violations)
}

// checkOutcome returns the violations of one request, which ran the given number of
// times.
func (s *Soak) checkOutcome(o outcome, runs int) []string {
	var violations []string
	prefix := fmt.Sprintf("request %s to %s at %s, status %d %s:", o.id, o.ip, o.start.Format("15:04:05.000"), o.status, o.err)
	if o.mismatch != "" {
		violations = append(violations, prefix+" "+o.mismatch)
	}
	if o.nonIdempotent && runs > 1 {
		violations = append(violations, fmt.Sprintf("%s ran %d times", prefix, runs))
	}
	if (o.status == 503 || o.status == 429) && runs > 0 {
		violations = append(violations, fmt.Sprintf("%s ran %d times although the daemon refused it", prefix, runs))
	}
	if o.status == 404 || o.status == 400 || o.status == 413 {
		violations = append(violations, prefix+" was rejected although its route is in every configuration")
	}
	if o.status == 0 && runs > 0 && !s.overlapsUnplannedFault(o) && !strings.Contains(o.err, "deadline") {
		violations = append(violations, prefix+" ran but got no response although no unplanned fault was active")
	}
	return violations
}

// overlapsUnplannedFault reports whether the request overlaps an unplanned fault or
// the settleTime after it.
func (s *Soak) overlapsUnplannedFault(o outcome) bool {
	for _, f := range s.unplannedFaults {
		if o.end.After(f.start) && o.start.Before(f.end.Add(settleTime)) {
			return true
		}
	}
	return false
}

func (s *Soak) close() {
	for _, d := range s.daemons {
		d.stop()
	}
	for _, t := range s.targets {
		_ = t.listener.Close()
		t.proxy.close()
		t.SetBehaviour(healthyBehaviour().With(shards.Down()))
	}
	if s.server != nil {
		_ = s.server.Close() // The stand-in has no data to save.
	}
	if s.guard != nil {
		_ = s.guard.Close() // Nothing connects to it.
	}
}
