package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

// Load and disruption of the case. The sheet of haneul-yard has 22.5 requests a
// second of the kind run-fetch, which take 220 ms on average and 1,300 ms at most,
// and 9 servers with 6 slots and 49 connections each.
const (
	popularDaemons  = 7
	popularServers  = 9
	popularSlots    = 6
	popularConns    = 49
	heavyWork       = 1200 * time.Millisecond
	usualWork       = 220 * time.Millisecond
	popularInterval = 200 * time.Millisecond
	usualInterval   = 60 * time.Millisecond
	popularBefore   = 5 * time.Second
	popularDuration = 50 * time.Second

	outages     = 2
	outageTime  = 4 * time.Second // Within the 4.5 s of srv_crash with "all".
	betweenTime = 1200 * time.Millisecond
)

// popular lets all servers of a service crash twice while many clients ask for the
// same heavy record, and others for records of their own.
func popular(rec *record, trouble bool) (bool, error) {
	l, err := newLab(rec)
	if err != nil {
		return false, err
	}
	defer func() { _ = l.close() }()
	work := func(r *http.Request) (time.Duration, int) {
		if strings.HasPrefix(r.URL.Path, "/top/") {
			return heavyWork, 6000
		}
		return usualWork, 6000
	}
	var servers []*server
	for n := range popularServers {
		s := newServer(l, n, "report-desk", popularSlots, work)
		if err := s.start(0); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	cfg := newConfig("report-desk", popularConns, 5*time.Second, 800*time.Millisecond)
	l.store.Put(kindConfig, "main", cfg)
	if err := l.startDaemons(popularDaemons); err != nil {
		return false, err
	}
	top := cfg.Routes[0]
	top.Name, top.Prefix = "r-top", "/top/"
	cfg.Version++
	cfg.Routes = append(cfg.Routes, top)
	l.store.Put(kindConfig, "main", cfg)
	rec.line("the configuration has a further route, r-top")
	time.Sleep(stabilityWindow)

	load := l.newLoad(popularDuration)
	load.add("top", http.MethodGet, func(int) string { return "/top/2f" }, 0, popularInterval)
	load.add("usual", http.MethodGet, ownPath, 0, usualInterval)
	time.Sleep(popularBefore)
	if trouble {
		crashAll(rec, servers)
	}
	time.Sleep(settleTime)
	load.settled()
	load.wait()
	for _, s := range servers {
		if !s.running() {
			return false, errors.New("a server has not come back")
		}
	}
	return load.laterServedLess("usual", "top")
}

// crashAll crashes all servers, some times. They start again after outageTime.
func crashAll(rec *record, servers []*server) {
	for n := range outages {
		if n > 0 {
			time.Sleep(betweenTime)
		}
		rec.line("all servers crash")
		for _, s := range servers {
			s.crash()
		}
		time.Sleep(outageTime)
		for _, s := range servers {
			if err := s.start(warmUp); err != nil {
				rec.line("server %s does not start: %v", s.id, err)
			}
		}
		rec.line("all servers are back")
	}
}
