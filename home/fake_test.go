package home

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/searcher"
	"medlaryard.example/medlaryard/shard"
)

// Network delay in one direction. The home of a group runs in the failure
// domain of one of its searchers.
const (
	nearDelay = 50 * time.Microsecond
	farDelay  = 700 * time.Microsecond
)

// fake is a simulated searcher. Tests switch its faults by setting fields.
type fake struct {
	clk  *simClock
	rng  *rand.Rand
	spec *catalogue.Searcher

	netDelay          time.Duration // Network delay from the home in one direction.
	slowdown          float64       // Factor of the service time.
	cold              bool
	coldSlowdown      float64 // Factor of the service time while cold; 0 stands for 1.
	refusesAboveLimit bool    // Refuses requests above the cold limit; otherwise runs them. Counts both.
	refuseAll         bool    // Refuses all requests while cold.
	claimsReady       bool    // Health replies always report ready.
	draining          bool
	silent            bool
	pauses            bool // Twice a second all replies are delayed by 100 ms.
	staleConnections  bool // Established connections are silent until one of them was given up.
	dead              bool
	poison            string // A request of this route crashes the searcher.
	wrongLabel        bool
	errors            float64 // Fraction of requests that end with an error.
	reportedVersion   string  // Reported version; empty stands for the version in the catalogue.
	boot              int
	snapshots         []uint64

	running        int
	ran            int // Requests that started to run.
	aboveColdLimit int // Requests that arrived above the cold limit during a cold start.
	afterDrain     int // Requests more than 3 s after the start of a drain that health replies report.
	drainAt        time.Duration
	runs           map[string]int // Starts by request id, shared by all fakes of a fixture.
	calls          map[*fakeCall]struct{}
	ids            map[string]int // Calls by ID.
}

type fakeCall struct {
	f             *fake
	call          searcher.Call
	done          func(searcher.Reply, *searcher.Failure)
	running       bool
	probed        bool
	patience      clock.Timer
	deadlineTimer clock.Timer // Ends the call at its deadline.
}

func newFake(c *simClock, r *rand.Rand, spec *catalogue.Searcher, runs map[string]int) *fake {
	return &fake{clk: c, rng: r, spec: spec, netDelay: farDelay, slowdown: 1, boot: 1, refusesAboveLimit: true, snapshots: []uint64{1}, runs: runs, ids: make(map[string]int), calls: make(map[*fakeCall]struct{})}
}

func (f *fake) target() *searcher.Target {
	return searcher.NewTarget(searcher.TargetSpec{
		Send:              f.send,
		Health:            f.health,
		SetMaxConnections: func(int) {},
		OpenConnections:   func() int { return f.running },
		Close:             func() {},
	})
}

func (f *fake) label(snapshot uint64) shard.Label {
	return shard.NewLabel(shard.LabelSpec{Snapshot: snapshot, Map: "m", Low: 1, High: 2, Documents: 1, Total: 20})
}

func (f *fake) health(done func(searcher.Health, *searcher.Failure)) {
	f.clk.AfterFunc(2*f.netDelay, func() {
		if f.dead || f.silent {
			done(searcher.Health{}, searcher.NewFailure(searcher.FaultConnect, refusal.New(refusal.SearcherFailed, "fake")))
			return
		}
		state := searcher.Ready
		switch {
		case f.claimsReady:
		case f.draining:
			state = searcher.Draining
		case f.cold:
			state = searcher.Cold
		}
		var labels []shard.Label
		for _, s := range f.snapshots {
			labels = append(labels, f.label(s))
		}
		done(searcher.NewHealth(searcher.HealthSpec{
			State: state, Version: f.version(), Boot: f.bootID(), Labels: labels,
		}), nil)
	})
}

func (f *fake) send(call searcher.Call, done func(searcher.Reply, *searcher.Failure)) func() {
	fc := &fakeCall{f: f, call: call, done: done}
	f.ids[call.ID()]++
	f.calls[fc] = struct{}{}
	fc.deadlineTimer = f.clk.AfterFunc(call.Deadline()-f.clk.now, func() { fc.fail(searcher.FaultSilent, refusal.Deadline, refusal.Unknown) })
	f.clk.AfterFunc(f.netDelay, fc.arrive)
	if call.Patience() > 0 {
		fc.patience = f.clk.AfterFunc(call.Patience(), func() {
			if !f.silent && !f.dead {
				fc.probed = true
				call.ReportSilent()
			}
		})
	}
	return func() {
		fault := searcher.FaultSilent
		if fc.probed {
			fault, f.staleConnections = searcher.FaultSilentConnection, false
		}
		f.clk.AfterFunc(f.netDelay, func() {
			fc.stop()
			f.clk.AfterFunc(f.netDelay, func() { fc.fail(fault, refusal.Cancelled, refusal.Unknown) })
		})
	}
}

func (fc *fakeCall) end(r searcher.Reply, fl *searcher.Failure) {
	if _, ok := fc.f.calls[fc]; !ok {
		return
	}
	delete(fc.f.calls, fc)
	fc.deadlineTimer.Stop()
	if fc.patience != nil {
		fc.patience.Stop()
	}
	fc.stop()
	fc.done(r, fl)
}

func (fc *fakeCall) fail(fault searcher.Fault, kind refusal.Kind, ran refusal.Ran) {
	fc.end(searcher.Reply{}, searcher.NewFailure(fault, refusal.New(kind, "fake").WithRan(ran)))
}

func (fc *fakeCall) failLater(fault searcher.Fault, kind refusal.Kind, ran refusal.Ran) {
	fc.f.clk.AfterFunc(fc.f.netDelay, func() { fc.fail(fault, kind, ran) })
}

func (fc *fakeCall) stop() {
	if fc.running {
		fc.running = false
		fc.f.running--
	}
}

func (fc *fakeCall) arrive() {
	f := fc.f
	if _, ok := f.calls[fc]; !ok {
		return
	}
	if e := fc.call.Permit(); e != nil {
		fc.end(searcher.Reply{}, searcher.NewFailure(searcher.FaultNone, e.WithRan(refusal.NotRun)))
		return
	}
	switch {
	case f.dead:
		fc.failLater(searcher.FaultConnect, refusal.SearcherFailed, refusal.NotRun)
		return
	case f.silent || f.staleConnections:
		return
	case f.draining:
		if !f.claimsReady && f.clk.now-f.drainAt > 3*time.Second {
			f.afterDrain++
		}
		fc.failLater(searcher.FaultDraining, refusal.NoSearcher, refusal.NotRun)
		return
	case f.cold && f.running >= f.spec.ColdLimit():
		f.aboveColdLimit++
		if f.refusesAboveLimit {
			fc.failLater(searcher.FaultCold, refusal.Cold, refusal.NotRun)
			return
		}
	case f.cold && f.refuseAll:
		fc.failLater(searcher.FaultCold, refusal.Cold, refusal.NotRun)
		return
	case f.running >= f.spec.Slots():
		fc.failLater(searcher.FaultShed, refusal.Overloaded, refusal.NotRun)
		return
	case !f.holds(fc.call.Snapshot()):
		fc.failLater(searcher.FaultSnapshot, refusal.SnapshotGone, refusal.NotRun)
		return
	}
	f.ran++
	id, _, _ := strings.Cut(fc.call.ID(), "~") // Each send of a request has its own.
	f.runs[id]++
	f.running++
	fc.running = true
	f.clk.AfterFunc(f.serviceTime(), fc.complete)
}

func (f *fake) version() string {
	if f.reportedVersion != "" {
		return f.reportedVersion
	}
	return f.spec.Version()
}

func (f *fake) holds(snapshot uint64) bool {
	for _, s := range f.snapshots {
		if snapshot == 0 || s == snapshot {
			return true
		}
	}
	return false
}

func (fc *fakeCall) complete() {
	if !fc.running || fc.f.silent {
		return
	}
	if fc.f.poison != "" && fc.call.Route() == fc.f.poison {
		fc.f.crash()
		return
	}
	fc.stop()
	if fc.f.wrongLabel {
		fc.failLater(searcher.FaultReply, refusal.BadReply, refusal.Unknown)
		return
	}
	if fc.f.errors > 0 && fc.f.rng.Float64() < fc.f.errors {
		fc.failLater(searcher.FaultStatus, refusal.SearcherFailed, refusal.Unknown)
		return
	}
	snapshot := fc.call.Snapshot()
	if snapshot == 0 {
		snapshot = fc.f.snapshots[0]
	}
	fc.f.clk.AfterFunc(fc.f.netDelay, func() {
		fc.end(searcher.NewReply(searcher.ReplySpec{Version: fc.f.version(), Boot: fc.f.bootID(), Label: fc.f.label(snapshot)}), nil)
	})
}

func (f *fake) bootID() string { return string(rune('a' + f.boot)) }

// restart replaces the process at once while no request runs. It is cold.
func (f *fake) restart() {
	f.boot++
	f.cold = true
}

// crash ends the process: its running requests break, and it restarts cold
// after 1 s.
func (f *fake) crash() {
	f.boot++
	f.dead = true
	for fc := range f.calls {
		if fc.running {
			fc.stop()
			fc.failLater(searcher.FaultCrashed, refusal.SearcherFailed, refusal.Unknown)
		}
	}
	f.clk.AfterFunc(time.Second, func() { f.dead, f.cold = false, true })
	f.clk.AfterFunc(3*time.Second, func() { f.cold = false })
}

// serviceTime returns a service time from a lognormal distribution with a mean
// of 10 ms.
func (f *fake) serviceTime() time.Duration {
	const sigma = 0.5
	ms := 10 * math.Exp(sigma*f.rng.NormFloat64()-sigma*sigma/2) * f.slowdown
	if f.cold && f.coldSlowdown > 0 {
		ms *= f.coldSlowdown
	}
	d := time.Duration(ms * float64(time.Millisecond))
	if f.pauses && f.clk.now%(500*time.Millisecond) < 120*time.Millisecond {
		d += 100 * time.Millisecond
	}
	return d
}
