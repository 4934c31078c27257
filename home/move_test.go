package home

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

func newMoveFixture(seed uint64, shards int) *fixture {
	move := catalogue.NewMove(catalogue.MoveSpec{EntrySpec: catalogue.EntrySpec{Name: "m"}, From: "v1", To: "v2"})
	fx := newFixture(fixtureSpec{
		seed: seed, shards: shards, replicas: 4, slots: 2, daemons: 1, policy: catalogue.Current,
		versions: []string{"v1", "v1", "v2", "v2"}, moves: []*catalogue.Move{move},
	})
	fx.clk.run(time.Second)
	return fx
}

// ranOn returns the number of requests that ran on searchers of the version.
func (fx *fixture) ranOn(version string) int {
	n := 0
	for _, f := range fx.fakes {
		if f.spec.Version() == version {
			n += f.ran
		}
	}
	return n
}

// Guards against requests on the old version after a completed move, and on the
// new version before the move or after its rollback.
func TestFinishedMove(t *testing.T) {
	for seed := range uint64(2) {
		fx := newMoveFixture(seed, 2)
		fx.load(0.3, 5*time.Second)
		if n := fx.ranOn("v2"); n != 0 {
			t.Errorf("seed %d: %d requests ran on the new version before the move", seed, n)
		}
		for _, share := range []float64{0.25, 0.5, 1} {
			fx.sets[0].SetMoveShare("svc", "m", share)
			fx.load(0.3, 10*time.Second)
		}
		before := fx.ranOn("v1")
		fx.partial = 0
		fx.load(0.3, 10*time.Second)
		if n := fx.ranOn("v1") - before; n != 0 || fx.partial != 0 {
			t.Errorf("seed %d: %d requests ran on the old version after the move, %d partial answers", seed, n, fx.partial)
		}
		for _, f := range fx.fakes {
			f.cold = f.spec.Version() == "v2"
		}
		fx.load(0.1, 5*time.Second)
		if n := fx.ranOn("v1") - before; n != 0 {
			t.Errorf("seed %d: %d requests ran on the old version while the new one was cold again", seed, n)
		}
		for _, f := range fx.fakes {
			f.cold = false
		}
		fx.load(0.1, 5*time.Second)
		fx.partial = 0
		// The old version serves again while the new one cannot.
		for _, f := range fx.fakes {
			f.draining = f.spec.Version() == "v2"
		}
		fx.clk.run(time.Second)
		fx.load(0.3, 5*time.Second)
		if fx.ranOn("v1") == before || fx.partial != 0 {
			t.Errorf("seed %d: %d partial answers while the new version drains", seed, fx.partial)
		}
		for _, f := range fx.fakes {
			f.draining = false
		}
		fx.sets[0].SetMoveShare("svc", "m", 0)
		fx.clk.run(time.Second)
		before = fx.ranOn("v2")
		fx.load(0.3, 5*time.Second)
		if n := fx.ranOn("v2") - before; n != 0 || fx.partial != 0 {
			t.Errorf("seed %d: %d requests ran on the new version after the rollback, %d partial answers", seed, n, fx.partial)
		}
	}
}

// Guards against a move to a good version with cold and slow searchers in which
// requests queue up for these searchers while the old version has free slots.
func TestMoveToColdSearchers(t *testing.T) {
	for seed := range uint64(2) {
		fx := newMoveFixture(seed, 10)
		fx.load(0.15, 20*time.Second)
		normal := p99(fx.takeLatencies())
		for _, f := range fx.fakes {
			if f.spec.Version() == "v2" {
				f.cold, f.coldSlowdown, f.refusesAboveLimit = true, 4, false
			}
		}
		var during time.Duration
		for _, share := range []float64{0.01, 0.05, 0.25, 0.5, 1} {
			fx.sets[0].SetMoveShare("svc", "m", share)
			fx.load(0.15, 5*time.Second)
			during = max(during, p99(fx.takeLatencies()))
		}
		for _, f := range fx.fakes {
			f.cold = false
		}
		fx.load(0.15, 10*time.Second)
		before := fx.ranOn("v1")
		fx.load(0.15, 10*time.Second)
		if n := fx.ranOn("v1") - before; n != 0 {
			t.Errorf("seed %d: %d requests ran on the old version 10 s after the cold start", seed, n)
		}
		after := p99(fx.takeLatencies())
		aboveColdLimit := 0
		for _, f := range fx.fakes {
			aboveColdLimit += f.aboveColdLimit
		}
		t.Logf("seed %d: p99 before the move %v, highest of a step %v, after the cold start %v", seed, normal, during, after)
		// The tail-latency bound for a slow searcher at this load; the cold
		// searchers are four times slower.
		if max(during, after) > normal*3/2 {
			t.Errorf("seed %d: p99 %v during the move, %v before", seed, max(during, after), normal)
		}
		if aboveColdLimit != 0 || fx.partial != 0 {
			t.Errorf("seed %d: %d requests above the cold limit, %d partial answers", seed, aboveColdLimit, fx.partial)
		}
	}
}

// Guards against a request that waits for a cold searcher of the new version
// while a warm one of the old version has a free slot.
func TestColdCanaryQueueing(t *testing.T) {
	fx := newMoveFixture(1, 1)
	fx.load(0.15, 10*time.Second)
	for _, f := range fx.fakes {
		if f.spec.Version() == "v2" {
			f.cold = true
		}
	}
	fx.sets[0].SetMoveShare("svc", "m", 1)
	fx.clk.run(2 * time.Second)
	g := fx.sets[0].group(fx.group(0))
	for _, m := range g.members {
		if m.spec.Version() == "v1" { // Slow enough that waiting for the new version seems faster.
			m.latency = latencyEstimate{value: 5 * g.medianLatency, at: fx.clk.now, known: true}
		}
	}
	for i := range 6 {
		fx.send(0, shard.RequestSpec{ID: "q", Idempotent: true}, func(r shard.Result) {
			if r.Kind() != refusal.None {
				t.Errorf("request %d: %s", i, r.Kind())
			}
		})
		if n := g.queue.len(); n != 0 {
			t.Errorf("%d of %d requests wait", n, i+1)
		}
	}
	fx.clk.run(2 * time.Second)
}
