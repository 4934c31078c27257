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

func newSingleGroup(versions []string, moves ...*catalogue.Move) *fixture {
	fx := newFixture(fixtureSpec{
		seed: 7, shards: 1, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current, versions: versions, moves: moves,
	})
	fx.clk.run(time.Second)
	return fx
}

// sendAndWait sends a request and returns its result.
func (fx *fixture) sendAndWait(spec shard.RequestSpec) shard.Result {
	var result shard.Result
	fx.send(0, spec, func(r shard.Result) { result = r })
	fx.clk.run(2 * time.Second)
	return result
}

// Guards against sends after the end of the lease, and against sub-requests
// that outlive it.
func TestLeaseEnd(t *testing.T) {
	fx := newSingleGroup(nil)
	fx.lease = fx.clk.now
	if r := fx.sendAndWait(shard.RequestSpec{Idempotent: true}); r.Kind() != refusal.NotHome || r.Ran() != refusal.NotRun {
		t.Errorf("got %s, ran %s", r.Kind(), r.Ran())
	}
	fx.lease = fx.clk.now + 300*time.Microsecond // The lease ends before a distant searcher is reached.
	fx.fakes["s00-0"].dead, fx.fakes["s00-0"].netDelay = true, farDelay
	fx.fakes["s00-1"].netDelay = farDelay
	if r := fx.sendAndWait(shard.RequestSpec{Idempotent: true}); r.Kind() == refusal.None {
		t.Errorf("answered after the end of the lease")
	}
	if n := fx.fakes["s00-0"].ran + fx.fakes["s00-1"].ran; n != 0 {
		t.Errorf("%d requests ran after the lease", n)
	}
}

// Guards against a non-idempotent request that runs twice, or that is not
// retried although a refusal proved that it did not run.
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
		{"slow", func(f *fake) { f.slowdown = 500 }, refusal.OutcomeUnknown, refusal.Unknown, 1},
	} {
		fx := newSingleGroup(nil)
		first := fx.sets[0].group(fx.group(0)).best(&task{}, fx.clk.now, func(*member) bool { return true })
		c.fault(fx.fakes[first.spec.Name()])
		r := fx.sendAndWait(shard.RequestSpec{ID: "run"})
		if r.Kind() != c.kind || r.Ran() != c.ran || fx.runs["run"] != c.started {
			t.Errorf("%s: got %s, ran %s, started %d times", c.name, r.Kind(), r.Ran(), fx.runs["run"])
		}
	}
}

// Guards against a retry that crashes another searcher after the request
// crashed the first.
func TestCrashRetry(t *testing.T) {
	fx := newSingleGroup(nil)
	for _, f := range fx.fakes {
		f.poison = "poison"
	}
	r := fx.sendAndWait(shard.RequestSpec{Idempotent: true, Route: "poison", Fingerprint: 42})
	if !r.Crashed() || r.Attempts() != 1 || r.Ran() != refusal.Unknown {
		t.Errorf("crashed %t after %d attempts, ran %s", r.Crashed(), r.Attempts(), r.Ran())
	}
	if f := <-fx.crashes; f != 42 {
		t.Errorf("fingerprint %d was reported", f)
	}
	fx.fakes["s00-0"].wrongLabel, fx.fakes["s00-1"].wrongLabel = true, true
	if r := fx.sendAndWait(shard.RequestSpec{Idempotent: true, Suspect: true}); r.Attempts() != 1 {
		t.Errorf("suspect request had %d attempts, want 1", r.Attempts())
	}
}

// Guards against a wrong list of available snapshots when the requested one is
// gone.
func TestSnapshotGone(t *testing.T) {
	fx := newSingleGroup(nil)
	fx.fakes["s00-0"].snapshots, fx.fakes["s00-1"].snapshots = []uint64{2}, []uint64{2, 3}
	fx.clk.run(time.Second)
	r := fx.sendAndWait(shard.RequestSpec{Idempotent: true, Snapshot: 1})
	held := r.AvailableSnapshots()
	if r.Kind() != refusal.SnapshotGone || r.Ran() != refusal.NotRun || len(held) != 2 || held[0].Snapshot() != 3 {
		t.Errorf("got %s, ran %s, held %+v", r.Kind(), r.Ran(), held)
	}
	// The searcher drops the snapshot after the last health reply.
	fx.fakes["s00-1"].snapshots = []uint64{2}
	if r := fx.sendAndWait(shard.RequestSpec{Idempotent: true, Snapshot: 3}); r.Kind() != refusal.SnapshotGone {
		t.Errorf("got %s for a snapshot that the searcher dropped", r.Kind())
	}
}

// Guards against new work in a failure domain that is out of service.
func TestDomainOutOfService(t *testing.T) {
	fx := newSingleGroup(nil)
	fx.load(0.3, 5*time.Second)
	fx.domainsOut["d0"] = true
	fx.apply()
	before := fx.fakes["s00-0"].ran
	fx.load(0.3, 5*time.Second)
	if f := fx.fakes["s00-0"]; f.ran != before || fx.partial > 0 {
		t.Errorf("%d requests ran in the failure domain out of service, %d partial answers", f.ran-before, fx.partial)
	}
	fx.domainsOut["d0"] = false
	fx.apply()
	fx.load(0.3, 5*time.Second)
	if fx.fakes["s00-0"].ran == before {
		t.Error("no request ran in the failure domain after its return to service")
	}
}

// Guards against a new version that receives more than its share, or new work
// after its share was set to 0. An invariant checks the share at every send,
// too.
func TestVersionShare(t *testing.T) {
	move := catalogue.NewMove(catalogue.MoveSpec{EntrySpec: catalogue.EntrySpec{Name: "m"}, From: "v1", To: "v2"})
	fx := newSingleGroup([]string{"v1", "v2"}, move)
	old, canary := fx.fakes["s00-0"], fx.fakes["s00-1"]
	fx.load(0.2, 5*time.Second)
	if canary.ran != 0 {
		t.Errorf("%d requests ran before the first step", canary.ran)
	}
	for _, share := range []float64{0.01, 0.05, 0.25, 0.5, 1} {
		fx.sets[0].SetMoveShare("svc", "m", share)
		a, b := old.ran, canary.ran
		fx.load(0.2, 20*time.Second)
		got := float64(canary.ran-b) / float64(canary.ran-b+old.ran-a)
		// A cold or busy canary may receive less than its share, but it needs
		// enough requests for evidence.
		if got > share+0.001 || got < share/2 {
			t.Errorf("new version got a share of %g, its move share is %g", got, share)
		}
	}
	fx.sets[0].SetMoveShare("svc", "m", 0)
	before := canary.ran
	fx.load(0.2, 5*time.Second)
	if canary.ran != before {
		t.Errorf("%d requests ran after the stop", canary.ran-before)
	}
	versions := make(map[string]uint64)
	for _, e := range fx.sets[0].Evidence() {
		versions[e.Version()] += e.Requests()
	}
	if int(versions["v2"]) > canary.ran || versions["v2"] == 0 || versions["v1"] == 0 {
		t.Errorf("requests in the evidence by version: %v", versions)
	}
}

// Guards against a release that cancels requests in flight or confirms before
// they end, and against a new home that starts without the estimates of the
// previous one.
func TestReleaseAndImport(t *testing.T) {
	fx := newSingleGroup(nil)
	fx.load(0.3, 5*time.Second)
	fx.clk.run(time.Second) // No request of the load is left that the next one could wait for.
	id := fx.group(0)
	answered := false
	fx.send(0, shard.RequestSpec{Idempotent: true}, func(r shard.Result) { answered = r.Kind() == refusal.None })
	fx.clk.run(time.Millisecond) // The request has been written to the searcher.
	if n := fx.sets[0].Status()[0].Queued(); n != 0 {
		t.Fatalf("%d requests are queued, want none", n)
	}
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	if r := fx.sets[0].Release(expired, []string{id, "svc/unknown/0"}); len(r) != 1 || r[0].Group() != "svc/unknown/0" {
		t.Errorf("released %+v with a request in flight", r)
	}
	if r := fx.sendAndWait(shard.RequestSpec{Idempotent: true}); r.Kind() != refusal.NotHome {
		t.Errorf("got %s after the release", r.Kind())
	}
	fx.apply()              // An assignment from before the release.
	fx.clk.run(time.Second) // All service times are far shorter.
	if r := fx.sendAndWait(shard.RequestSpec{Idempotent: true}); r.Kind() != refusal.NotHome || !answered {
		t.Errorf("got %s after the release, request in flight answered: %t", r.Kind(), answered)
	}
	released := fx.sets[0].Release(expired, []string{id})
	if len(released) != 1 || len(released[0].Searchers()) != 2 || !released[0].Searchers()[0].Warm() {
		t.Fatalf("released %+v", released)
	}
	fx.share = lease.None
	fx.apply()
	fx.sets[0].ImportEstimates(id, released[0])
	fx.share = lease.Reserved
	fx.apply()
	if s := fx.sets[0].Status()[0].Searchers()[0]; s.Limit() != 2 || s.Latency() == defaultLatency {
		t.Errorf("new home starts with limit %d and latency %v", s.Limit(), s.Latency())
	}
}

// Guards against shares whose connections together exceed a searcher's
// connection limit.
func TestConnectionsByShare(t *testing.T) {
	for limit := range 200 {
		sum := connections(lease.Full, limit) + connections(lease.Reserved, limit) + connections(lease.Acting, limit)
		if sum > limit || connections(lease.Reserved, limit) > limit/5 {
			t.Errorf("limit %d: connections of all shares add up to %d", limit, sum)
		}
	}
}

// Guards against batch requests that crowd out interactive ones, against
// unbounded queues and against waiting requests that outlive their deadline.
func TestOverload(t *testing.T) {
	fx := newSingleGroup(nil)
	fx.load(0.3, 5*time.Second)
	fx.kinds = make(map[refusal.Kind]int)
	var interactive, batch int
	end := fx.clk.now + 5*time.Second
	var arrive func()
	arrive = func() {
		if fx.clk.now >= end {
			return
		}
		fx.send(0, shard.RequestSpec{Idempotent: true, Class: catalogue.Batch}, func(r shard.Result) {
			if r.Kind() == refusal.None {
				batch++
			}
		})
		fx.send(0, shard.RequestSpec{Idempotent: true, Class: catalogue.Interactive}, func(r shard.Result) {
			if r.Kind() == refusal.None {
				interactive++
			}
		})
		fx.clk.AfterFunc(3*time.Millisecond, arrive) // 667 requests a second for a capacity of 400.
	}
	arrive()
	fx.clk.run(7 * time.Second)
	if fx.late > 0 || batch == 0 || interactive < 3*batch || fx.kinds[refusal.Overloaded] == 0 {
		t.Errorf("%d interactive and %d batch requests answered, %d late, results %v", interactive, batch, fx.late, fx.kinds)
	}
}
