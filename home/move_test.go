package home

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

func newMoving(seed uint64, shards int) *fixture {
	move := catalogue.NewMove(catalogue.MoveSpec{EntrySpec: catalogue.EntrySpec{Name: "m"}, From: "v1", To: "v2"})
	y := newFixture(fixtureSpec{
		seed: seed, shards: shards, replicas: 4, slots: 2, daemons: 1, policy: catalogue.Current,
		versions: []string{"v1", "v1", "v2", "v2"}, moves: []*catalogue.Move{move},
	})
	y.c.run(time.Second)
	return y
}

// ranOn returns the number of requests that ran on searchers of the version.
func (y *fixture) ranOn(version string) int {
	n := 0
	for _, f := range y.fakes {
		if f.spec.Version() == version {
			n += f.ran
		}
	}
	return n
}

// Guards against requests on the old version after a finished move, and on the
// new one before the move or after its rollback.
func TestFinishedMove(t *testing.T) {
	for seed := range uint64(2) {
		y := newMoving(seed, 2)
		y.load(0.3, 5*time.Second)
		if n := y.ranOn("v2"); n != 0 {
			t.Errorf("seed %d: %d requests ran on the new version before the move", seed, n)
		}
		for _, share := range []float64{0.25, 0.5, 1} {
			y.sets[0].SetMoveShare("svc", "m", share)
			y.load(0.3, 10*time.Second)
		}
		before := y.ranOn("v1")
		y.partial = 0
		y.load(0.3, 10*time.Second)
		if n := y.ranOn("v1") - before; n != 0 || y.partial != 0 {
			t.Errorf("seed %d: %d requests ran on the old version after the move, %d partial answers", seed, n, y.partial)
		}
		for _, f := range y.fakes {
			f.cold = f.spec.Version() == "v2"
		}
		y.load(0.1, 5*time.Second)
		if n := y.ranOn("v1") - before; n != 0 {
			t.Errorf("seed %d: %d requests ran on the old version while the new one was cold again", seed, n)
		}
		for _, f := range y.fakes {
			f.cold = false
		}
		y.load(0.1, 5*time.Second)
		y.partial = 0
		// The old version serves again when the new one cannot.
		for _, f := range y.fakes {
			f.draining = f.spec.Version() == "v2"
		}
		y.c.run(time.Second)
		y.load(0.3, 5*time.Second)
		if y.ranOn("v1") == before || y.partial != 0 {
			t.Errorf("seed %d: %d partial answers while the new version drains", seed, y.partial)
		}
		for _, f := range y.fakes {
			f.draining = false
		}
		y.sets[0].SetMoveShare("svc", "m", 0)
		y.c.run(time.Second)
		before = y.ranOn("v2")
		y.load(0.3, 5*time.Second)
		if n := y.ranOn("v2") - before; n != 0 || y.partial != 0 {
			t.Errorf("seed %d: %d requests ran on the new version after the rollback, %d partial answers", seed, n, y.partial)
		}
	}
}

// Guards against a move to a good version whose searchers start cold and slow,
// in which requests pile up at them or wait for them while the old version has
// room.
func TestMoveToColdSearchers(t *testing.T) {
	for seed := range uint64(2) {
		y := newMoving(seed, 10)
		y.load(0.15, 20*time.Second)
		calm := p99(y.take())
		for _, f := range y.fakes {
			if f.spec.Version() == "v2" {
				f.cold, f.coldSlow, f.sheds = true, 4, false
			}
		}
		var during time.Duration
		for _, share := range []float64{0.01, 0.05, 0.25, 0.5, 1} {
			y.sets[0].SetMoveShare("svc", "m", share)
			y.load(0.15, 5*time.Second)
			during = max(during, p99(y.take()))
		}
		for _, f := range y.fakes {
			f.cold = false
		}
		y.load(0.15, 10*time.Second)
		before := y.ranOn("v1")
		y.load(0.15, 10*time.Second)
		if n := y.ranOn("v1") - before; n != 0 {
			t.Errorf("seed %d: %d requests ran on the old version 10 s after the cold start", seed, n)
		}
		after := p99(y.take())
		tooMuch := 0
		for _, f := range y.fakes {
			tooMuch += f.tooMuch
		}
		t.Logf("seed %d: p99 calm %v, highest of a step %v, after the cold start %v", seed, calm, during, after)
		// The bound of a slow searcher at this load; the cold ones are four times slower.
		if max(during, after) > calm*3/2 {
			t.Errorf("seed %d: p99 %v during the move, %v before", seed, max(during, after), calm)
		}
		if tooMuch != 0 || y.partial != 0 {
			t.Errorf("seed %d: %d requests above the cold limit, %d partial answers", seed, tooMuch, y.partial)
		}
	}
}

// Guards against a request that waits for a cold searcher of the new version
// while a warm one of the old version has room.
func TestNoWaitForColdSearcher(t *testing.T) {
	y := newMoving(1, 1)
	y.load(0.15, 10*time.Second)
	for _, f := range y.fakes {
		if f.spec.Version() == "v2" {
			f.cold = true
		}
	}
	y.sets[0].SetMoveShare("svc", "m", 1)
	y.c.run(2 * time.Second)
	g := y.sets[0].group(y.group(0))
	for _, m := range g.members {
		if m.spec.Version() == "v1" { // Slow enough that a wait for the new version seems to be shorter.
			m.estimate = estimate{value: 5 * g.median, at: y.c.now, known: true}
		}
	}
	for i := range 6 {
		y.send(0, shard.RequestSpec{ID: "q", Idempotent: true}, func(r shard.Result) {
			if r.Kind() != refusal.None {
				t.Errorf("request %d: %s", i, r.Kind())
			}
		})
		if n := g.queue.len(); n != 0 {
			t.Errorf("%d of %d requests wait", n, i+1)
		}
	}
	y.c.run(2 * time.Second)
}
