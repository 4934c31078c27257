package home

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

func newPair(seed uint64, prepare func(y *fixture)) *fixture {
	y := newFixture(fixtureSpec{seed: seed, shards: 1, replicas: 2, slots: 4, daemons: 1, policy: catalogue.Current})
	prepare(y)
	y.c.run(time.Second)
	return y
}

// coldSeeds is the number of seeds of each test; a searcher that is ramped up by
// chance shows in some of them only.
const coldSeeds = 20

// Guards against a searcher that is ramped up although it is still cold, because
// its health claims otherwise and every reply, slow as it is, counts as success.
func TestColdSearcherThatClaimsReady(t *testing.T) {
	for seed := range uint64(coldSeeds) {
		y := newPair(seed, func(y *fixture) {
			f := y.fakes["s00-0"]
			f.cold, f.lying, f.coldSlow, f.sheds = true, true, 3, false
		})
		y.load(0.6, 10*time.Second)
		if f := y.fakes["s00-0"]; f.tooMuch > 0 || f.ran == 0 {
			t.Errorf("seed %d: %d requests above the cold limit, %d within", seed, f.tooMuch, f.ran)
		}
		y.fakes["s00-0"].cold = false
		y.load(0.6, 10*time.Second)
		if s := y.sets[0].Status()[0].Searchers()[0]; s.State() != "warm" {
			t.Errorf("seed %d: searcher is %s after its cold start", seed, s.State())
		}
	}
}

// Guards against full load on a searcher that turned cold while it was warm,
// which neither its health nor a refusal shows.
func TestSearcherTurnsColdWithoutWarning(t *testing.T) {
	for seed := range uint64(coldSeeds) {
		y := newPair(seed, func(*fixture) {})
		y.load(0.3, 5*time.Second)
		f := y.fakes["s00-0"]
		f.cold, f.lying, f.coldSlow, f.sheds = true, true, 5, false
		y.load(0.3, 10*time.Second)
		// The replies that show the cold start, and what is in flight by then.
		if bound := slowReplies + f.spec.Slots(); f.tooMuch > bound {
			t.Errorf("seed %d: %d requests above the cold limit", seed, f.tooMuch)
		}
		if y.partial > 0 {
			t.Errorf("seed %d: %d partial answers", seed, y.partial)
		}
	}
}

// Guards against warm searchers that lose their slots because a pause of the VM
// delays all replies that are on their way.
func TestPausesAreNoColdStart(t *testing.T) {
	y := newFixture(fixtureSpec{seed: 8, shards: 4, replicas: 2, slots: 3, daemons: 1, policy: catalogue.Current})
	y.c.run(time.Second)
	y.load(0.3, 5*time.Second)
	for _, f := range y.fakes {
		f.pauses = true
	}
	cold := 0
	for range 100 {
		y.load(0.3, 100*time.Millisecond)
		for _, g := range y.sets[0].Status() {
			for _, s := range g.Searchers() {
				if s.State() != "warm" {
					cold++
				}
			}
		}
	}
	if cold > 0 {
		t.Errorf("searchers were not warm %d times of 800", cold)
	}
}

// Guards against load on a cold searcher while another home may be using its
// cold limit.
func TestColdSearcherGetsNothingBelowFullShare(t *testing.T) {
	for _, share := range []lease.Share{lease.Reserved, lease.Acting} {
		y := newFixture(fixtureSpec{seed: 3, shards: 1, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current})
		y.fakes["s00-0"].cold = true
		y.share = share
		y.apply()
		sent := 0
		for range 200 {
			y.send(0, shard.RequestSpec{Idempotent: true, Acting: true}, func(r shard.Result) {
				if r.Kind() == refusal.None {
					sent++
				}
			})
			y.c.run(20 * time.Millisecond)
		}
		if f := y.fakes["s00-0"]; f.ran > 0 || sent < 150 {
			t.Errorf("share %s: cold searcher ran %d, %d of 200 were answered", share, f.ran, sent)
		}
	}
}

// Guards against a wave of refused requests that moves from one cold searcher
// to the next.
func TestRefusedWorkStaysOffColdSearchers(t *testing.T) {
	y := newFixture(fixtureSpec{seed: 4, shards: 1, replicas: 3, slots: 4, daemons: 1, policy: catalogue.Current})
	y.c.run(time.Second)
	for _, name := range y.names {
		// A cold limit of 0 at the searcher refuses everything.
		y.fakes[name].cold, y.fakes[name].lying, y.fakes[name].refuseAll = true, true, true
	}
	kinds := make(map[refusal.Kind]int)
	attempts := 0
	for range 50 {
		y.send(0, shard.RequestSpec{Idempotent: true}, func(r shard.Result) {
			kinds[r.Kind()]++
			attempts = max(attempts, r.Attempts())
		})
	}
	y.c.run(2 * time.Second)
	if kinds[refusal.None] > 0 || attempts > 1 {
		t.Errorf("results %v, up to %d attempts", kinds, attempts)
	}
}
