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
	host       = "songs.example"
	shardCount = 6
	minShards  = 5
	topRecords = 10
	extraRatio = 0.2
	extraSlack = 54
	// calm is how long after a disruption the bounds of the promises hold again.
	calm = 4 * time.Second
	// recovery is the time within which service is back after the last fault.
	recovery = 12 * time.Second
)

// Soak is one run.
type Soak struct {
	out     io.Writer
	store   *metastore.Store
	server  *http.Server
	daemons []*process
	targets []*remote

	mu        sync.Mutex
	rng       *rand.Rand
	version   int
	outcomes  []outcome
	unplanned []span
}

// span is the time of one unplanned fault.
type span struct{ from, to time.Time }

// remote is a target behind a proxy.
type remote struct {
	*shards.Target
	proxy *proxy
	l     net.Listener
}

func sound() shards.Behaviour {
	return shards.NewBehaviour(3*time.Millisecond, shards.Slots(4), shards.Spread(0.3))
}

// Config is what a run needs.
type Config struct {
	binary  string
	dir     string
	daemons int
	length  time.Duration
	apply   time.Duration
}

// NewConfig returns the plan of a run: the daemon's binary, a directory for
// settings and logs, the number of daemons, for how long faults are injected,
// and the time within which a configuration is in force when all is calm.
func NewConfig(binary, dir string, daemons int, length, apply time.Duration) Config {
	return Config{binary: binary, dir: dir, daemons: daemons, length: length, apply: apply}
}

// Run plays the faults that seed draws and returns what was violated.
func Run(cfg Config, seed int64, out io.Writer) ([]string, error) {
	s := &Soak{out: out, store: metastore.New(50), rng: rand.New(rand.NewSource(seed))}
	defer s.close()
	if err := s.start(cfg); err != nil {
		return nil, err
	}
	if !s.serves(recovery) {
		return []string{"the daemons do not serve after their start"}, nil
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
	s.disturb(cfg.length)
	var violations []string
	if !s.serves(recovery) {
		violations = append(violations, fmt.Sprintf("not back in service within %v of the last fault", recovery))
	}
	time.Sleep(calm)
	violations = append(violations, s.checkApply(cfg.apply)...)
	cancel()
	wg.Wait()
	time.Sleep(patience) // Requests that were promised not to run would run by now.
	return append(violations, s.verdict()...), nil
}

func (s *Soak) start(cfg Config) error {
	l, err := net.Listen("tcp4", "127.0.90.1:0")
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s.store.Handler()}
	go func() { _ = s.server.Serve(l) }() // It ends with close.
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
	s.configure()
	seeds := fmt.Sprintf(`"127.0.92.1:%d", "127.0.92.2:%[1]d"`, operatorsPort)
	for i := range cfg.daemons {
		p, err := newProxy("127.0.93.1:0", l.Addr().String())
		if err != nil {
			return err
		}
		d := &process{name: fmt.Sprintf("d%d", i+1), ip: fmt.Sprintf("127.0.92.%d", i+1), binary: cfg.binary, store: p}
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
	t := e.Add(id, sound())
	go func() { _ = t.Listen(l) }() // It ends when the listener is closed.
	p, err := newProxy("127.0.91.2:0", l.Addr().String())
	if err != nil {
		return err
	}
	s.targets = append(s.targets, &remote{Target: t, proxy: p, l: l})
	zone := []string{"a", "b"}[n%2]
	s.store.Put(platform.KindTargets, id, platformtest.NewTarget(service, p.address(), zone, 4).Object())
	return nil
}

func (s *Soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Intn(n)
}

// disturb injects faults, one after the other and up to three at once.
func (s *Soak) disturb(length time.Duration) {
	const most = 3
	slots := make(chan struct{}, most)
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		slots <- struct{}{}
		f := faults[s.draw(len(faults))]
		d := time.Duration(300+s.draw(2500)) * time.Millisecond
		fmt.Fprintf(s.out, "%s %s for %v\n", time.Now().Format("15:04:05.000"), f.name, d)
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.play(f, d)
			<-slots
		}()
		time.Sleep(time.Duration(s.draw(1200)) * time.Millisecond)
	}
	wg.Wait()
}

func (s *Soak) play(f fault, d time.Duration) {
	from := time.Now()
	if !f.planned {
		s.mu.Lock()
		s.unplanned = append(s.unplanned, span{from, from.Add(time.Hour)})
		i := len(s.unplanned) - 1
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			s.unplanned[i].to = time.Now().Add(d)
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

// serves waits until every daemon answers a request of each kind.
func (s *Soak) serves(within time.Duration) bool {
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

// checkApply changes the configuration and waits until all daemons follow.
func (s *Soak) checkApply(within time.Duration) []string {
	s.configure()
	began := time.Now()
	path := fmt.Sprintf("/extra%d/1", s.version)
	var late []string
	for _, d := range s.daemons {
		for s.status(d.ip, path) != http.StatusOK {
			if time.Since(began) > within {
				late = append(late, fmt.Sprintf("%s has no new configuration after %v", d.name, within))
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	fmt.Fprintf(s.out, "configuration in force after %v\n", time.Since(began).Round(time.Millisecond))
	return late
}

func (s *Soak) status(ip, path string) int {
	client := &http.Client{Timeout: patience}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", ip, callersPort, path), nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, fmt.Sprintf("a-%d", time.Now().UnixNano()))
	req.Header.Set(platform.HeaderDeadline, "2000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// verdict checks all that callers and targets saw.
func (s *Soak) verdict() []string {
	runs := make(map[string]int)
	for _, t := range s.targets {
		for id, n := range t.Runs() {
			runs[id] += n
		}
	}
	var bad []string
	statuses := make(map[int]int)
	for _, o := range s.outcomes {
		statuses[o.status]++
		bad = append(bad, s.judge(o, runs[o.id])...)
	}
	for _, d := range s.daemons {
		bad = append(bad, d.strange...)
	}
	fmt.Fprintf(s.out, "%d requests, by status: %v\n", len(s.outcomes), statuses)
	slices.Sort(bad)
	return slices.Compact(bad)
}

func (s *Soak) judge(o outcome, runs int) []string {
	var bad []string
	what := fmt.Sprintf("request %s to %s at %s, status %d %s:", o.id, o.ip, o.began.Format("15:04:05.000"), o.status, o.err)
	if o.wrong != "" {
		bad = append(bad, what+" "+o.wrong)
	}
	if o.once && runs > 1 {
		bad = append(bad, fmt.Sprintf("%s ran %d times", what, runs))
	}
	if (o.status == 503 || o.status == 429) && runs > 0 {
		bad = append(bad, fmt.Sprintf("%s ran %d times although it was refused", what, runs))
	}
	if o.status == 404 || o.status == 400 || o.status == 413 {
		bad = append(bad, what+" the route is in every configuration")
	}
	if o.status == 0 && runs > 0 && !s.disturbed(o) && !strings.Contains(o.err, "deadline") {
		bad = append(bad, what+" was cut off although only planned work was under way")
	}
	return bad
}

// disturbed reports whether an unplanned fault touched the request.
func (s *Soak) disturbed(o outcome) bool {
	for _, u := range s.unplanned {
		if o.ended.After(u.from) && o.began.Before(u.to.Add(calm)) {
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
		_ = t.l.Close()
		t.proxy.close()
		t.SetBehaviour(sound().With(shards.Down()))
	}
	if s.server != nil {
		_ = s.server.Close() // Nothing is lost with the stand-in.
	}
}
