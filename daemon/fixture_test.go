package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue/evaluate"
	"medlaryard.example/medlaryard/catalogue/publish"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/settings"
	"medlaryard.example/medlaryard/standin/objects"
	"medlaryard.example/medlaryard/standin/searchers"
)

func init() { invariant.FatalInTests() }

// patience is how long the tests wait for daemons to agree. Nothing is asserted
// about the time itself.
const patience = 30 * time.Second

// fixture is a store, searchers and daemons in one process, on loopback.
type fixture struct {
	t       *testing.T
	store   *objects.Store
	address string // Of the store.
	fleet   *searchers.Fleet
	text    string // The first catalogue.
	members []*member
	set     func(*settings.Spec) // Changes the settings of daemons to start; may be nil.
}

// member is one running daemon.
type member struct {
	callers, operators string
	stop               context.CancelFunc
	done               chan error
}

func newFixture(t *testing.T, daemons int) *fixture {
	y := &fixture{t: t, store: objects.New()}
	server := httptest.NewServer(objects.NewHandler(y.store))
	t.Cleanup(server.Close)
	y.address = strings.TrimPrefix(server.URL, "http://")
	text := catalogueText(freeAddresses(t, 11))
	y.text = text
	estate, err := evaluate.Text("test", []byte(text), 1)
	if err != nil {
		t.Fatal(err)
	}
	y.fleet, err = searchers.StartFleet(searchers.NewCorpus(1, 500), searchers.FromCatalogue(estate, searchers.Config{ServiceTime: 2 * time.Millisecond}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(y.fleet.Close)
	y.apply(0, text)
	for i := range daemons {
		y.start(i)
	}
	return y
}

func catalogueText(a []string) string {
	list := func(from, to int) string { return `["` + strings.Join(a[from:to], `", "`) + `"]` }
	return fmt.Sprintf(`
owner: desk
class: interactive
limits: {rate: 5000, concurrency: 1000}
domains:
  - {name: domain-a, region: local}
  - {name: domain-b, region: local}
owners:
  - name: desk
    classes:
      interactive: {rate: 4000, concurrency: 800}
services:
  - name: songs
    searcher: {version: v1, slots: 2, connections: 25}
    shards:
      count: 4
      replicas:
        - {domain: domain-a, addresses: %s}
        - {domain: domain-b, addresses: %s}
  - name: queue
    non_idempotent: true
    searcher: {version: v1, slots: 3, connections: 100}
    shards:
      count: 1
      replicas:
        - {domain: domain-a, addresses: %s}
        - {domain: domain-b, addresses: %s}
`, list(0, 4), list(4, 8), list(8, 9), list(9, 11))
}

// apply puts a catalogue in force.
func (y *fixture) apply(based uint64, text string) {
	y.t.Helper()
	if _, err := publish.New(y.store).Apply(context.Background(), []byte(text), "test", based); err != nil {
		y.t.Fatal(err)
	}
}

func (y *fixture) start(i int) { y.startIn(i, "domain-a") }

func (y *fixture) startIn(i int, domain string) {
	spec := y.spec(i, domain)
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{callers: spec.CallerListen, operators: spec.OperatorListen, stop: cancel, done: make(chan error, 1)}
	go func() { m.done <- Run(ctx, settings.New(spec)) }()
	y.members = append(y.members, m)
	y.t.Cleanup(func() {
		cancel()
		<-m.done
	})
}

// spec returns the settings of a daemon.
func (y *fixture) spec(i int, domain string) settings.Spec {
	free := freeAddresses(y.t, 3)
	spec := settings.Default()
	spec.Name, spec.Region, spec.Domain = fmt.Sprint("vm-", i), "local", domain
	spec.CallerListen, spec.CallerAdvertise = free[0], free[0]
	spec.PeerListen, spec.PeerAdvertise = free[1], free[1]
	spec.OperatorListen, spec.StoreAddress = free[2], y.address
	spec.AddressTTL = 300 * time.Millisecond
	if y.set != nil {
		y.set(&spec)
	}
	return spec
}

// freeAddresses returns loopback addresses that nothing listens on. They have an
// IP address of this process: on 127.0.0.1 a connection of another test took a
// free port before the fixture listened on it.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	var list []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

// reply is any answer of the callers' interface.
type reply struct {
	Addresses []struct{ Address, Incarnation string }
	IssuedMS  int64 `json:"issued_ms"`
	ID        string
	Coverage  struct{ Fraction float64 }
	Hits      []struct{ ID string }
	Missing   []struct{ Shard, Reason string }
	Outcome   string
	Kind      string
	Ran       string
}

func call(method, url string, body any) (reply, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return reply{}, err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return reply{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	var r reply
	return r, json.NewDecoder(resp.Body).Decode(&r)
}

func query(address, id string) (reply, error) {
	return call(http.MethodPost, "http://"+address+"/v1/query", map[string]any{
		"id": id, "owner": "desk", "class": "interactive", "service": "songs", "route": "match",
		"deadline_ms": 1500, "limit": 3, "body": id,
	})
}

// warmUp is the number of consecutive answers with full coverage after which
// the searchers count as warm for the load of these tests.
const warmUp = 60

// ready waits until every daemon knows all others and the searchers are warm.
func (y *fixture) ready() {
	y.t.Helper()
	for _, m := range y.members {
		y.until("complete membership", func() bool {
			r, err := call(http.MethodGet, "http://"+m.callers+"/v1/addresses", nil)
			return err == nil && len(r.Addresses) == len(y.members)
		})
	}
	good := 0
	y.until("full coverage", func() bool {
		var wg sync.WaitGroup
		var missed atomic.Int64
		for k := range 2 * len(y.members) {
			wg.Go(func() {
				r, err := query(y.members[k%len(y.members)].callers, "probe")
				if err != nil || r.Coverage.Fraction != 1 {
					missed.Add(1)
				}
			})
		}
		wg.Wait()
		if good += 2 * len(y.members); missed.Load() > 0 {
			good = 0
		}
		return good >= warmUp
	})
}

func (y *fixture) until(what string, ok func() bool) {
	y.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	y.t.Fatalf("no %s within %v", what, patience)
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// callers sends queries and asks for addresses as often as it is told to.
type callers struct {
	mu     sync.Mutex
	faults []string
	sent   int
}

// work sends queries to the addresses of the latest answer until stop closes.
func (c *callers) work(seed string, k int, ttl time.Duration, stop chan struct{}) {
	var list []struct{ Address, Incarnation string }
	var asked time.Time
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if time.Since(asked) >= ttl {
			at := seed
			if len(list) > 0 {
				at = list[n%len(list)].Address
			}
			r, err := call(http.MethodGet, "http://"+at+"/v1/addresses", nil)
			if err != nil || len(r.Addresses) == 0 {
				c.note(fmt.Sprintf("addresses from %s: %v", at, err))
				continue
			}
			list, asked = r.Addresses, time.Now()
		}
		id := fmt.Sprintf("c%d-%d", k, n)
		r, err := query(list[n%len(list)].Address, id)
		if err != nil || r.Kind != "" || r.ID != id || r.Coverage.Fraction != 1 {
			c.note(fmt.Sprintf("query %s: %+v, %v", id, r, err))
		}
		c.mu.Lock()
		c.sent++
		c.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *callers) note(fault string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fault)
}
