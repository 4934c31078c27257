package soak

import (
	"fmt"
	"syscall"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/platform/platformtest"
	"medlaryard.example/medlaryard/standin/metastore"
	"medlaryard.example/medlaryard/standin/shards"
)

// fault is one disruption. It ends by itself.
type fault struct {
	name    string
	planned bool // Work that may cut off no request.
	inject  func(s *Soak, d time.Duration)
}

// during sets something for a while.
func during(d time.Duration, set, unset func()) {
	set()
	time.Sleep(d)
	unset()
}

var faults = []fault{
	{"terminate", true, func(s *Soak, _ time.Duration) { s.daemon().terminate() }},
	{"configuration", true, func(s *Soak, _ time.Duration) { s.configure() }},
	{"hangup", true, func(s *Soak, _ time.Duration) { s.daemon().signal(syscall.SIGHUP) }},
	{"kill", false, func(s *Soak, _ time.Duration) { s.daemon().signal(syscall.SIGKILL) }},
	{"kill all", false, func(s *Soak, _ time.Duration) {
		for _, d := range s.daemons {
			d.signal(syscall.SIGKILL)
		}
	}},
	{"pause", false, func(s *Soak, d time.Duration) { s.daemon().pause(d) }},
	{"store down", false, func(s *Soak, d time.Duration) { s.storeFault(d, metastore.Down()) }},
	{"store hangs", false, func(s *Soak, d time.Duration) { s.storeFault(d, metastore.Hanging()) }},
	{"store slow", false, func(s *Soak, d time.Duration) { s.storeFault(d, metastore.Slow(300*time.Millisecond)) }},
	{"store loses answers", false, func(s *Soak, d time.Duration) { s.storeFault(d, metastore.DroppingReplies()) }},
	{"store deaf and forgetful", false, func(s *Soak, d time.Duration) {
		s.storeFault(min(d, time.Second), metastore.StalledWatches())
		s.store.Compact()
	}},
	{"one daemon without store", false, func(s *Soak, d time.Duration) {
		p := s.daemon().store
		during(d, func() { p.set(silent, 0) }, func() { p.set(passing, 0); p.reset() })
	}},
	{"store connections reset", false, func(s *Soak, _ time.Duration) {
		for _, d := range s.daemons {
			d.store.reset()
		}
	}},
	{"target link slow", false, func(s *Soak, d time.Duration) {
		t := s.target()
		during(d, func() { t.proxy.set(passing, 60*time.Millisecond) }, func() { t.proxy.set(passing, 0) })
	}},
	{"target link silent", false, func(s *Soak, d time.Duration) {
		t := s.target()
		during(d, func() { t.proxy.set(silent, 0) }, func() { t.proxy.set(passing, 0); t.proxy.reset() })
	}},
	{"target link one way", false, func(s *Soak, d time.Duration) {
		t := s.target()
		during(d, func() { t.proxy.set(answers, 0) }, func() { t.proxy.set(passing, 0); t.proxy.reset() })
	}},
	{"target link reset", false, func(s *Soak, _ time.Duration) { s.target().proxy.reset() }},
	{"target refuses", false, func(s *Soak, d time.Duration) {
		t := s.target()
		during(d, func() { t.proxy.set(refusing, 0); t.proxy.reset() }, func() { t.proxy.set(passing, 0) })
	}},
	{"target slow", false, func(s *Soak, d time.Duration) { s.become(d, shards.Slow(10)) }},
	{"target fails", false, func(s *Soak, d time.Duration) { s.become(d, shards.Failing(0.5), shards.Shedding(0.2)) }},
	{"target doubles and loses answers", false, func(s *Soak, d time.Duration) {
		s.become(d, shards.Duplicating(0.3), shards.DroppingReplies(0.2))
	}},
}

func (s *Soak) daemon() *process { return s.daemons[s.draw(len(s.daemons))] }

func (s *Soak) target() *remote { return s.targets[s.draw(len(s.targets))] }

func (s *Soak) become(d time.Duration, opts ...shards.Option) {
	t := s.target()
	during(d, func() { t.SetBehaviour(sound().With(opts...)) }, func() { t.SetBehaviour(sound()) })
}

func (s *Soak) storeFault(d time.Duration, f metastore.Fault) {
	during(d, func() { s.store.Inject(f) }, func() { s.store.Inject(metastore.Healthy()) })
}

// configure writes a new version of the configuration with another extra route.
func (s *Soak) configure() {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	cfg := platformtest.NewConfig(version, maxBody)
	cfg.Service("plays", targetConnections)
	var names []string
	for i := range shardCount {
		name := fmt.Sprintf("shard%d", i)
		names = append(names, name)
		cfg.Service(name, targetConnections)
	}
	sharded := platformtest.Sharded(names, topRecords, float64(minShards)/shardCount)
	cfg.Route("match", host, "/match/", routeTimeout, routeObjective, sharded)
	cfg.Route("extra", host, fmt.Sprintf("/extra%d/", version), routeTimeout, routeObjective, sharded)
	cfg.Route("play", host, "/play/", routeTimeout, routeObjective, platformtest.SingleService("plays"), platformtest.NonIdempotent())
	s.store.Put(platform.KindConfig, "main", cfg.Object())
}

const (
	// targetConnections is how many connections a target accepts.
	targetConnections = 60
	// maxBody is the size in bytes that callers' bodies may have.
	maxBody = 64 << 10
	// routeTimeout and routeObjective are those of all routes.
	routeTimeout   = 2 * time.Second
	routeObjective = 300 * time.Millisecond
)
