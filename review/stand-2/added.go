package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"medlaryard.example/medlaryard/standin/metastore"
)

// Deployment, load and disruption of the case. The sheet of tamasha-yard has 7
// machines, 20 shards with 2 servers each, 7 servers of one service and 4 of
// another; a store that answers in 4 ms and lists 50 objects in a page; and a store
// whose answers take up to 96 times as long for 6 s.
const (
	addedDaemons  = 7
	shards        = 20
	perShard      = 2
	boardServers  = 7
	intakeServers = 4
	laterServers  = 2
	usualAnswer   = 4 * time.Millisecond
	slowAnswer    = 96 * usualAnswer
	slowTime      = 6 * time.Second
	listInterval  = 8 * time.Second // Between two lists of the servers by one machine.
	afterPage     = 200 * time.Millisecond
	namedAfter    = 3500 * time.Millisecond // Between the start of servers and the configuration that names them.
	steadyAfter   = 12 * time.Second
	addedDuration = 12 * time.Second
	firstInterval = 100 * time.Millisecond
	minRequests   = 20
)

// added starts the servers of a further service while the store is slow and a
// machine lists the servers, and then adds a route to that service.
func added(rec *record, trouble bool) (bool, error) {
	l, err := newLab(rec)
	if err != nil {
		return false, err
	}
	defer func() { _ = l.close() }()
	lists := l.observeLists()
	l.store.Inject(metastore.Slow(usualAnswer))
	quick := func(*http.Request) (time.Duration, int) { return 20 * time.Millisecond, 2000 }
	n := 0
	start := func(service string, count int, coldFor time.Duration) error {
		for range count {
			if err := newServer(l, n, service, 3, quick).start(coldFor); err != nil {
				return err
			}
			n++
		}
		return nil
	}
	cfg := newConfig("queue-board", 100, 6*time.Second, 400*time.Millisecond)
	var gather []string
	for i := range shards {
		name := fmt.Sprintf("host-console-%02d", i)
		gather = append(gather, name)
		cfg.Services = append(cfg.Services, serviceSpec{Name: name, HealthPath: "/healthz", MaxConnections: 26, Protocol: "h1", WarmUpS: 3})
		if err := start(name, perShard, 0); err != nil {
			return false, err
		}
	}
	cfg.Routes = append(cfg.Routes, routeSpec{Name: "r-all", Host: hostName, Prefix: "/all/", Class: "idempotent", TimeoutMS: 1500, ObjectiveMS: 100, Priority: 1, Gather: gather, TopK: 50, MinCoverage: 0.89, MaxAttempts: 2})
	if err := errors.Join(start("queue-board", boardServers-1, 0), start("catalogue-intake", intakeServers, 0)); err != nil {
		return false, err
	}
	l.store.Put(kindConfig, "main", cfg)
	if err := l.startDaemons(addedDaemons); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	if err := start("queue-board", 1, warmUp); err != nil { // One more server, as usual.
		return false, err
	}
	rec.line("a further server of queue-board has started")
	lists.next()
	time.Sleep(listInterval - time.Second)
	if trouble {
		l.store.Inject(metastore.Slow(slowAnswer))
		rec.line("the store's answers take %v", slowAnswer)
	}
	slowUntil := time.Now().Add(slowTime)
	lists.next()
	rec.line("a machine lists the servers")
	if trouble {
		time.Sleep(slowAnswer + afterPage)
	} else {
		time.Sleep(time.Second)
	}
	if err := start("rights-ledger", laterServers, 0); err != nil {
		return false, err
	}
	rec.line("the servers of rights-ledger have started")
	time.Sleep(time.Until(slowUntil))
	l.store.Inject(metastore.Slow(usualAnswer))
	rec.line("the store answers as usual")
	time.Sleep(namedAfter)
	cfg.Version++
	cfg.Services = append(cfg.Services, serviceSpec{Name: "rights-ledger", HealthPath: "/healthz", MaxConnections: 26, Protocol: "h1"}) // Without warm-up.
	later := cfg.Routes[0]
	later.Name, later.Prefix, later.Service = "r-later", "/later/", "rights-ledger"
	cfg.Routes = append(cfg.Routes, later)
	l.store.Put(kindConfig, "main", cfg)
	rec.line("the configuration names rights-ledger")
	time.Sleep(steadyAfter)
	return l.laterRoutes()
}

// laterRoutes sends requests to all machines on a first route and on one that was
// added later. It reports whether the machines serve the latter less than a quarter
// as often.
func (l *lab) laterRoutes() (bool, error) {
	sent, served := make(map[string]int), make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	send := func(kind, path string, n int) {
		defer wg.Done()
		d := l.daemons[n%len(l.daemons)]
		id := fmt.Sprintf("%s-%d", kind, n)
		status, after, err := d.exchange(id, http.MethodGet, path, nil, loadDeadline)
		l.rec.line("client: %s %s to %s: status %d, retry after %v, error %v", id, path, d.name, status, after, err)
		mu.Lock()
		defer mu.Unlock()
		sent[kind]++
		if status == http.StatusOK && err == nil {
			served[kind]++
		}
	}
	for stop, n := time.Now().Add(addedDuration), 0; time.Now().Before(stop); n++ {
		wg.Add(2)
		go send("first", "/read/2f", n)
		go send("later", "/later/2f", n)
		time.Sleep(firstInterval)
	}
	wg.Wait()
	if served["first"] == 0 || sent["later"] < minRequests {
		return false, errors.New("too few requests were served")
	}
	share := func(kind string) float64 { return float64(served[kind]) / float64(sent[kind]) }
	l.rec.line("first route: %d of %d served; route that was added later: %d of %d served; the rule asks for a quarter of %.3f, seen is %.3f",
		served["first"], sent["first"], served["later"], sent["later"], share("first"), share("later"))
	return share("later") < share("first")/4, nil
}
