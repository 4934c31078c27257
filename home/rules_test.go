package home

import (
	"context"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

func newRules(versions []string, moves ...*catalogue.Move) *fixture {
	y := newFixture(fixtureSpec{
		seed: 7, shards: 1, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current, versions: versions, moves: moves,
	})
	y.c.run(time.Second)
	return y
}

// one sends a request and returns its result.
func (y *fixture) one(spec shard.RequestSpec) shard.Result {
	var result shard.Result
	y.send(0, spec, func(r shard.Result) { result = r })
	y.c.run(2 * time.Second)
	return result
}

// Guards against sends after the lease has ended and sub-requests that outlive it.
func TestLeaseEnd(t *testing.T) {
	y := newRules(nil)
	y.lease = y.c.now
	if r := y.one(shard.RequestSpec{Idempotent: true}); r.Kind() != refusal.NotHome || r.Ran() != refusal.NotRun {
		t.Errorf("got %s, ran %s", r.Kind(), r.Ran())
	}
	y.lease = y.c.now + 300*time.Microsecond // Over before a distant searcher is reached.
	y.fakes["s00-0"].dead, y.fakes["s00-0"].hop = true, simFar
	y.fakes["s00-1"].hop = simFar
	if r := y.one(shard.RequestSpec{Idempotent: true}); r.Kind() == refusal.None {
		t.Errorf("answered after the lease")
	}
	if n := y.fakes["s00-0"].ran + y.fakes["s00-1"].ran; n != 0 {
		t.Errorf("%d requests ran after the lease", n)
	}
}

// Guards against a non-idempotent request that runs twice, or that is given up
// though a refusal proved that it did not run.
func TestNonIdempotentRetry(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   func(f *fake)
		kind    refusal.Kind
		ran     refusal.Ran
		started int
	}{
		{"refused", func(f *fake) { f.draining = true }, refusal.None, refusal.DidRun, 1},
		{"no connection", func(f *fake) { f.dead = true }, refusal.None, refusal.DidRun, 1},
		{"bad reply", func(f *fake) { f.wrongLabel = true }, refusal.OutcomeUnknown, refusal.Unknown, 1},
		{"silent", func(f *fake) { f.silent = true }, refusal.OutcomeUnknown, refusal.Unknown, 0},
		{"slow", func(f *fake) { f.slow = 500 }, refusal.OutcomeUnknown, refusal.Unknown, 1},
	} {
		y := newRules(nil)
		first := y.sets[0].group(y.group(0)).best(&task{}, y.c.now, func(*member) bool { return true })
		c.fault(y.fakes[first.spec.Name()])
		r := y.one(shard.RequestSpec{ID: "run"})
		if r.Kind() != c.kind || r.Ran() != c.ran || y.runs["run"] != c.started {
			t.Errorf("%s: got %s, ran %s, started %d times", c.name, r.Kind(), r.Ran(), y.runs["run"])
		}
	}
}

// Guards against a request that crashes one searcher after the other.
func TestCrashMakesSuspect(t *testing.T) {
	y := newRules(nil)
	for _, f := range y.fakes {
		f.poison = "poison"
	}
	r := y.one(shard.RequestSpec{Idempotent: true, Route: "poison", Fingerprint: 42})
	if !r.Crashed() || r.Attempts() != 1 || r.Ran() != refusal.Unknown {
		t.Errorf("crashed %t after %d attempts, ran %s", r.Crashed(), r.Attempts(), r.Ran())
	}
	if f := <-y.crashes; f != 42 {
		t.Errorf("fingerprint %d was reported", f)
	}
	y.fakes["s00-0"].wrongLabel, y.fakes["s00-1"].wrongLabel = true, true
	if r := y.one(shard.RequestSpec{Idempotent: true, Suspect: true}); r.Attempts() != 1 {
		t.Errorf("suspect had %d attempts", r.Attempts())
	}
}

// Guards against a wrong list of snapshots when the one asked for is gone.
func TestSnapshotGone(t *testing.T) {
	y := newRules(nil)
	y.fakes["s00-0"].snapshots, y.fakes["s00-1"].snapshots = []uint64{2}, []uint64{2, 3}
	y.c.run(time.Second)
	r := y.one(shard.RequestSpec{Idempotent: true, Snapshot: 1})
	held := r.AvailableSnapshots()
	if r.Kind() != refusal.SnapshotGone || r.Ran() != refusal.NotRun || len(held) != 2 || held[0].Snapshot() != 3 {
		t.Errorf("got %s, ran %s, held %+v", r.Kind(), r.Ran(), held)
	}
	// The searcher drops the snapshot after the last health answer.
	y.fakes["s00-1"].snapshots = []uint64{2}
	if r := y.one(shard.RequestSpec{Idempotent: true, Snapshot: 3}); r.Kind() != refusal.SnapshotGone {
		t.Errorf("got %s", r.Kind())
	}
}

// Guards against new work in a failure domain that is out of service.
func TestDomainOutOfService(t *testing.T) {
	y := newRules(nil)
	y.load(0.3, 5*time.Second)
	y.out["d0"] = true
	y.apply()
	before := y.fakes["s00-0"].ran
	y.load(0.3, 5*time.Second)
	if f := y.fakes["s00-0"]; f.ran != before || y.partial > 0 {
		t.Errorf("%d requests ran there, %d partial answers", f.ran-before, y.partial)
	}
	y.out["d0"] = false
	y.apply()
	y.load(0.3, 5*time.Second)
	if y.fakes["s00-0"].ran == before {
		t.Error("nothing runs there after its return")
	}
}

// Guards against a new version that receives more than its share, or any new
// work after it was stopped. The share is checked at every send as well.
func TestVersionShare(t *testing.T) {
	move := catalogue.NewMove(catalogue.MoveSpec{EntrySpec: catalogue.EntrySpec{Name: "m"}, From: "v1", To: "v2"})
	y := newRules([]string{"v1", "v2"}, move)
	old, canary := y.fakes["s00-0"], y.fakes["s00-1"]
	y.load(0.2, 5*time.Second)
	if canary.ran != 0 {
		t.Errorf("%d requests ran before the first step", canary.ran)
	}
	for _, share := range []float64{0.01, 0.05, 0.25, 0.5, 1} {
		y.sets[0].SetMoveShare("svc", "m", share)
		a, b := old.ran, canary.ran
		y.load(0.2, 20*time.Second)
		got := float64(canary.ran-b) / float64(canary.ran-b+old.ran-a)
		// A cold or busy canary may receive less, but it has to receive evidence.
		if got > share+0.001 || got < share/2 {
			t.Errorf("share %g instead of %g", got, share)
		}
	}
	y.sets[0].SetMoveShare("svc", "m", 0)
	before := canary.ran
	y.load(0.2, 5*time.Second)
	if canary.ran != before {
		t.Errorf("%d requests ran after the stop", canary.ran-before)
	}
	versions := make(map[string]uint64)
	for _, e := range y.sets[0].Evidence() {
		versions[e.Version()] += e.Requests()
	}
	if int(versions["v2"]) > canary.ran || versions["v2"] == 0 || versions["v1"] == 0 {
		t.Errorf("evidence on %v requests", versions)
	}
}

// Guards against a release that cuts requests off or confirms too early, and a
// new home that starts without the old one's estimates.
func TestReleaseAndAdopt(t *testing.T) {
	y := newRules(nil)
	y.load(0.3, 5*time.Second)
	y.c.run(time.Second) // Nothing of the load is left that the request could wait for.
	id := y.group(0)
	answered := false
	y.send(0, shard.RequestSpec{Idempotent: true}, func(r shard.Result) { answered = r.Kind() == refusal.None })
	y.c.run(time.Millisecond) // It has been written to the searcher.
	if n := y.sets[0].Status()[0].Queued(); n != 0 {
		t.Fatalf("%d requests wait, none has been written", n)
	}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if r := y.sets[0].Release(over, []string{id, "svc/unknown/0"}); len(r) != 1 || r[0].Group() != "svc/unknown/0" {
		t.Errorf("released %+v with a request in flight", r)
	}
	if r := y.one(shard.RequestSpec{Idempotent: true}); r.Kind() != refusal.NotHome {
		t.Errorf("got %s after the release", r.Kind())
	}
	y.apply()            // An assignment that is older than the release.
	y.c.run(time.Second) // The longest service time is far below.
	if r := y.one(shard.RequestSpec{Idempotent: true}); r.Kind() != refusal.NotHome || !answered {
		t.Errorf("got %s after the release, request in flight answered: %t", r.Kind(), answered)
	}
	released := y.sets[0].Release(over, []string{id})
	if len(released) != 1 || len(released[0].Searchers()) != 2 || !released[0].Searchers()[0].Warm() {
		t.Fatalf("released %+v", released)
	}
	y.share = lease.None
	y.apply()
	y.sets[0].ImportEstimates(id, released[0])
	y.share = lease.Reserved
	y.apply()
	if s := y.sets[0].Status()[0].Searchers()[0]; s.Limit() != 2 || s.Latency() == defaultLatency {
		t.Errorf("new home starts with limit %d and latency %v", s.Limit(), s.Latency())
	}
}

// Guards against homes whose connections together exceed a searcher's cap.
func TestConnectionsOfShares(t *testing.T) {
	for limit := range 200 {
		sum := connections(lease.Full, limit) + connections(lease.Reserved, limit) + connections(lease.Acting, limit)
		if sum > limit || connections(lease.Reserved, limit) > limit/5 {
			t.Errorf("cap %d: shares add up to %d", limit, sum)
		}
	}
}

// Guards against batch requests that crowd out interactive ones, queues without
// a bound, and waiting requests that outlive their deadline.
func TestOverload(t *testing.T) {
	y := newRules(nil)
	y.load(0.3, 5*time.Second)
	y.kinds = make(map[refusal.Kind]int)
	var interactive, batch int
	end := y.c.now + 5*time.Second
	var arrive func()
	arrive = func() {
		if y.c.now >= end {
			return
		}
		y.send(0, shard.RequestSpec{Idempotent: true, Class: catalogue.Batch}, func(r shard.Result) {
			if r.Kind() == refusal.None {
				batch++
			}
		})
		y.send(0, shard.RequestSpec{Idempotent: true, Class: catalogue.Interactive}, func(r shard.Result) {
			if r.Kind() == refusal.None {
				interactive++
			}
		})
		y.c.AfterFunc(3*time.Millisecond, arrive) // 667 a second for a capacity of 400.
	}
	arrive()
	y.c.run(7 * time.Second)
	if y.late > 0 || batch == 0 || interactive < 3*batch || y.kinds[refusal.Overloaded] == 0 {
		t.Errorf("%d interactive and %d batch requests answered, %d late, results %v", interactive, batch, y.late, y.kinds)
	}
}
