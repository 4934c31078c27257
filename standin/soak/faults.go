package soak

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/platform/platformtest"
	"medlaryard.example/medlaryard/standin/metastore"
	"medlaryard.example/medlaryard/standin/shards"
)

// fault is a kind of fault. inject applies it for d and may return before it ends.
type fault struct {
	name    string
	planned bool // The fault is a planned operation, which must not cut off requests.
	inject  func(s *Soak, d time.Duration)
}

// applyFor calls apply, and revert after d.
func applyFor(d time.Duration, apply, revert func()) {
	apply()
	time.Sleep(d)
	revert()
}

var faults = []fault{
	{"terminate", true, func(s *Soak, _ time.Duration) { s.randomDaemon().terminate() }},
	{"configuration", true, func(s *Soak, _ time.Duration) { s.putConfig() }},
	{"hangup", true, func(s *Soak, _ time.Duration) { s.randomDaemon().signal(syscall.SIGHUP) }},
	{"kill", false, func(s *Soak, _ time.Duration) { s.randomDaemon().signal(syscall.SIGKILL) }},
	{"kill all", false, func(s *Soak, _ time.Duration) {
		for _, d := range s.daemons {
			d.signal(syscall.SIGKILL)
		}
	}},
	{"pause", false, func(s *Soak, d time.Duration) { s.randomDaemon().pause(d) }},
	{"store down", false, func(s *Soak, d time.Duration) { s.injectStoreFault(d, metastore.Down()) }},
	{"store hangs", false, func(s *Soak, d time.Duration) { s.injectStoreFault(d, metastore.Hanging()) }},
	{"store slow", false, func(s *Soak, d time.Duration) { s.injectStoreFault(d, metastore.Slow(300*time.Millisecond)) }},
	{"store drops replies", false, func(s *Soak, d time.Duration) { s.injectStoreFault(d, metastore.DroppingReplies()) }},
	{"store stalls watches and drops history", false, func(s *Soak, d time.Duration) {
		s.injectStoreFault(min(d, time.Second), metastore.StalledWatches())
		s.store.Compact()
	}},
	{"store restored from an older copy", false, func(s *Soak, d time.Duration) { s.restoreStore(d) }},
	{"store's watches silent", false, func(s *Soak, d time.Duration) { s.injectStoreFault(d, metastore.SilentWatches()) }},
	{"store link of one daemon silent", false, func(s *Soak, d time.Duration) {
		p := s.randomDaemon().storeProxy
		applyFor(d, func() { p.setMode(modeDropAll, 0) }, func() { p.setMode(modeForward, 0); p.resetConns() })
	}},
	{"store connections reset", false, func(s *Soak, _ time.Duration) {
		for _, d := range s.daemons {
			d.storeProxy.resetConns()
		}
	}},
	{"target link slow", false, func(s *Soak, d time.Duration) {
		t := s.randomTarget()
		applyFor(d, func() { t.proxy.setMode(modeForward, 60*time.Millisecond) }, func() { t.proxy.setMode(modeForward, 0) })
	}},
	{"target link silent", false, func(s *Soak, d time.Duration) {
		t := s.randomTarget()
		applyFor(d, func() { t.proxy.setMode(modeDropAll, 0) }, func() { t.proxy.setMode(modeForward, 0); t.proxy.resetConns() })
	}},
	{"target link drops replies", false, func(s *Soak, d time.Duration) {
		t := s.randomTarget()
		applyFor(d, func() { t.proxy.setMode(modeDropReplies, 0) }, func() { t.proxy.setMode(modeForward, 0); t.proxy.resetConns() })
	}},
	{"target link reset", false, func(s *Soak, _ time.Duration) { s.randomTarget().proxy.resetConns() }},
	{"target refuses", false, func(s *Soak, d time.Duration) {
		t := s.randomTarget()
		applyFor(d, func() { t.proxy.setMode(modeRefuse, 0); t.proxy.resetConns() }, func() { t.proxy.setMode(modeForward, 0) })
	}},
	{"target slow", false, func(s *Soak, d time.Duration) { s.degradeTarget(d, shards.Slow(10)) }},
	{"target fails", false, func(s *Soak, d time.Duration) { s.degradeTarget(d, shards.Failing(0.5), shards.Shedding(0.2)) }},
	{"target names a limit", false, func(s *Soak, d time.Duration) {
		s.degradeTarget(d, shards.Header(platform.HeaderLimit, "20"))
	}},
	{"target asks for pauses", false, func(s *Soak, d time.Duration) {
		s.degradeTarget(d, shards.Shedding(0.3), shards.Header("Retry-After", "0.7"))
	}},
	{"odd entry among the targets", false, func(s *Soak, d time.Duration) {
		const name = "odd"
		nested := json.RawMessage(strings.Repeat("[", 9000) + strings.Repeat("]", 9000))
		applyFor(d, func() { s.store.Put(platform.KindTargets, name, nested) }, func() { s.store.Delete(platform.KindTargets, name) })
	}},
	{"target duplicates and drops replies", false, func(s *Soak, d time.Duration) {
		s.degradeTarget(d, shards.Duplicating(0.3), shards.DroppingReplies(0.2))
	}},
	{"answers without end", false, func(s *Soak, d time.Duration) { s.sendEndlessly(d) }},
	{"target repeats refusals late", false, func(s *Soak, d time.Duration) {
		s.degradeTarget(d, shards.Shedding(0.4), shards.LateCopies(0.5))
	}},
}

// faultsNamed returns the kinds of faults with the given name, or all if it is "".
func faultsNamed(name string) []fault {
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return name != "" && f.name != name })
}

func (s *Soak) randomDaemon() *process { return s.daemons[s.randIntn(len(s.daemons))] }

func (s *Soak) randomTarget() *proxiedTarget { return s.targets[s.randIntn(len(s.targets))] }

// degradeTarget applies opts to a random target for d.
func (s *Soak) degradeTarget(d time.Duration, opts ...shards.Option) {
	t := s.randomTarget()
	applyFor(d, func() { t.SetBehaviour(healthyBehaviour().With(opts...)) }, func() { t.SetBehaviour(healthyBehaviour()) })
}

// sendEndlessly makes all targets answer without end for d, so that each daemon
// reads as many such answers as it has connections.
func (s *Soak) sendEndlessly(d time.Duration) {
	forms := []shards.Endlessness{shards.EndlessHead, shards.EndlessBody, shards.EndlessChunk, shards.NoAnswer}
	form := forms[s.randIntn(len(forms))]
	setAll := func(b shards.Behaviour) {
		for _, t := range s.targets {
			t.SetBehaviour(b)
		}
	}
	applyFor(d, func() { setAll(healthyBehaviour().With(shards.Endless(form))) }, func() { setAll(healthyBehaviour()) })
}

func (s *Soak) injectStoreFault(d time.Duration, f metastore.Fault) {
	applyFor(d, func() { s.store.Inject(f) }, func() { s.store.Inject(metastore.Healthy()) })
}

// putConfig writes a new version of the configuration, with an extra route whose
// path contains the version.
func (s *Soak) putConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	version := s.version
	cfg := platformtest.NewConfig(version, maxBodyBytes)
	cfg.Service("plays", targetConnections)
	var names []string
	for i := range shardCount {
		name := fmt.Sprintf("shard%d", i)
		names = append(names, name)
		cfg.Service(name, targetConnections)
		cfg.WarmUp(time.Second, 40)
	}
	sharded := platformtest.Sharded(names, topRecords, float64(minShards)/shardCount)
	cfg.Route("match", hostName, "/match/", routeTimeout, routeObjective, sharded)
	cfg.Route("extra", hostName, fmt.Sprintf("/extra%d/", version), routeTimeout, routeObjective, sharded)
	cfg.Route("play", hostName, "/play/", routeTimeout, routeObjective, platformtest.SingleService("plays"), platformtest.NonIdempotent())
	s.config = cfg.Object()
	s.store.Put(platform.KindConfig, "main", s.config)
}

const (
	// targetConnections is the connection limit of a target in the configuration.
	targetConnections = 60
	// maxBodyBytes is the size limit of request bodies.
	maxBodyBytes = 64 << 10
	// routeTimeout and routeObjective apply to all routes.
	routeTimeout   = 2 * time.Second
	routeObjective = 300 * time.Millisecond
)
