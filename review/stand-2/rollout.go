package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Load and disruption of the case. The sheet of haneul-yard has 9 servers of
// report-desk and 4 of bench-log; an order of the examples has 12 s.
const (
	rolloutDaemons  = 3
	deskServers     = 9
	logServers      = 4
	rolloutConns    = 49
	rolloutSlots    = 6
	oldVersion      = "v1"
	newVersion      = "v2"
	rolloutDuration = 50 * time.Second
	orderAfter      = 2 * time.Second
	orderTime       = 12 * time.Second
	lostAfter       = 3 * time.Second // From the order on.
	entryExpires    = 3600 * time.Millisecond
	deskInterval    = 100 * time.Millisecond
	logInterval     = 50 * time.Millisecond
	statusInterval  = 20 * time.Millisecond
)

const kindRollouts = "rollouts"

type rolloutSpec struct {
	Service   string  `json:"service"`
	Version   string  `json:"target_version"`
	DurationS float64 `json:"duration_s"`
}

// rollout orders a new version whose servers are lost for good soon after their
// start. It is the platform too: at "completed" it stops the old servers.
func rollout(rec *record, trouble bool) (bool, error) {
	l, err := newLab(rec)
	if err != nil {
		return false, err
	}
	defer func() { _ = l.close() }()
	work := func(*http.Request) (time.Duration, int) { return usualWork, 6000 }
	n := 0
	start := func(service, version string, count int, coldFor time.Duration) ([]*server, error) {
		var servers []*server
		for range count {
			s := newServer(l, n, service, rolloutSlots, work)
			s.version = version
			if err := s.start(coldFor); err != nil {
				return nil, err
			}
			servers = append(servers, s)
			n++
		}
		return servers, nil
	}
	old, err := start("report-desk", oldVersion, deskServers, 0)
	if err != nil {
		return false, err
	}
	if _, err := start("bench-log", oldVersion, logServers, 0); err != nil {
		return false, err
	}
	cfg := newConfig("bench-log", rolloutConns, loadDeadline, 800*time.Millisecond)
	l.store.Put(kindConfig, "main", cfg)
	if err := l.startDaemons(rolloutDaemons); err != nil {
		return false, err
	}
	cfg.Services = append(cfg.Services, serviceSpec{Name: "report-desk", HealthPath: "/healthz", MaxConnections: rolloutConns, Protocol: "h1", WarmUpS: 3})
	desk := cfg.Routes[0]
	desk.Name, desk.Prefix, desk.Service = "r-desk", "/desk/", "report-desk"
	cfg.Version++
	cfg.Routes = append(cfg.Routes, desk)
	l.store.Put(kindConfig, "main", cfg)
	rec.line("the configuration has a further route, to report-desk")
	time.Sleep(stabilityWindow)

	load := l.newLoad(rolloutDuration)
	load.add("desk", http.MethodGet, func(n int) string { return fmt.Sprintf("/desk/%x", n) }, 0, deskInterval)
	load.add("log", http.MethodGet, ownPath, 0, logInterval)
	time.Sleep(orderAfter)
	added, err := start("report-desk", newVersion, deskServers, warmUp)
	if err != nil {
		return false, err
	}
	l.store.Put(kindRollouts, "report-desk", rolloutSpec{Service: "report-desk", Version: newVersion, DurationS: orderTime.Seconds()})
	rec.line("the operator orders %s of report-desk, its %d servers have started", newVersion, deskServers)
	time.Sleep(lostAfter)
	if trouble {
		for _, s := range added {
			s.crash()
		}
		rec.line("all servers of %s are lost for good", newVersion)
		time.Sleep(entryExpires)
		for _, s := range added {
			l.store.Delete(kindServers, s.id)
		}
		rec.line("the entries of these servers have expired")
	}
	for time.Now().Before(load.stop) {
		var status struct{ State string }
		if text := l.store.Status(kindRollouts, "report-desk"); text != "" && json.Unmarshal([]byte(text), &status) == nil && status.State != "running" {
			rec.line("the system publishes: %s", text)
			if status.State == "completed" {
				for _, s := range old {
					s.crash() // Without draining.
					l.store.Delete(kindServers, s.id)
				}
				rec.line("the servers of %s have stopped", oldVersion)
			}
			break
		}
		time.Sleep(statusInterval)
	}
	time.Sleep(settleTime)
	load.settled()
	load.wait()
	return load.laterServedLess("log", "desk")
}
