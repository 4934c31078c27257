package home

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// newTwoReplicas returns a fixture with one group of two searchers; prepare sets
// their faults before the first health reply.
func newTwoReplicas(seed uint64, prepare func(fx *fixture)) *fixture {
	fx := newFixture(fixtureSpec{seed: seed, shards: 1, replicas: 2, slots: 4, daemons: 1, policy: catalogue.Current})
	prepare(fx)
	fx.clk.run(time.Second)
	return fx
}

// coldSeeds is the number of seeds of each test. A searcher whose limit grows
// by chance shows with some seeds only.
const coldSeeds = 20

// Guards against a limit that grows for a searcher that is still cold, because
// its health reply reports ready and its slow replies count as success.
func TestColdSearcherThatClaimsReady(t *testing.T) {
	for seed := range uint64(coldSeeds) {
		fx := newTwoReplicas(seed, func(fx *fixture) {
			f := fx.fakes["s00-0"]
			f.cold, f.claimsReady, f.coldSlowdown, f.refusesAboveLimit = true, true, 3, false
		})
		fx.load(0.6, 10*time.Second)
		if f := fx.fakes["s00-0"]; f.aboveColdLimit > 0 || f.ran == 0 {
			t.Errorf("seed %d: %d requests above the cold limit, %d within", seed, f.aboveColdLimit, f.ran)
		}
		fx.fakes["s00-0"].cold = false
		fx.load(0.6, 10*time.Second)
		if s := fx.sets[0].Status()[0].Searchers()[0]; s.State() != "warm" {
			t.Errorf("seed %d: searcher is %s after its cold start", seed, s.State())
		}
	}
}

// Guards against full load on a warm searcher that becomes cold when neither
// its health reply nor a refusal shows it.
func TestUnannouncedColdStart(t *testing.T) {
	for seed := range uint64(coldSeeds) {
		fx := newTwoReplicas(seed, func(*fixture) {})
		fx.load(0.3, 5*time.Second)
		f := fx.fakes["s00-0"]
		f.cold, f.claimsReady, f.coldSlowdown, f.refusesAboveLimit = true, true, 5, false
		fx.load(0.3, 10*time.Second)
		// The slow replies that detect the cold start, and the requests in
		// flight by then.
		if bound := coldScore + f.spec.Slots(); f.aboveColdLimit > bound {
			t.Errorf("seed %d: %d requests above the cold limit", seed, f.aboveColdLimit)
		}
		if fx.partial > 0 {
			t.Errorf("seed %d: %d partial answers", seed, fx.partial)
		}
	}
}

// Guards against full load on a searcher that has restarted since its last health
// reply (FAILBACK).
func TestRestartBetweenHealthReplies(t *testing.T) {
	for _, slowdown := range []float64{1, 3} {
		for seed := range uint64(coldSeeds) {
			fx := newTwoReplicas(seed, func(*fixture) {})
			fx.load(0.6, 5*time.Second)
			fx.clk.run(500 * time.Millisecond)
			f := fx.fakes["s00-0"]
			f.refusesAboveLimit, f.coldSlowdown = false, slowdown
			f.restart()
			fx.load(0.6, 5*time.Second)
			// The requests that are in flight when the first reply names the new process.
			if bound := f.spec.Slots(); f.aboveColdLimit > bound {
				t.Errorf("seed %d, %v times slower while cold: %d requests above the cold limit, want at most %d", seed, slowdown, f.aboveColdLimit, bound)
			}
		}
	}
}

// Guards against warm searchers that are marked as cold because a pause of the
// VM delays all replies in flight.
func TestVMPauses(t *testing.T) {
	fx := newFixture(fixtureSpec{seed: 8, shards: 4, replicas: 2, slots: 3, daemons: 1, policy: catalogue.Current})
	fx.clk.run(time.Second)
	fx.load(0.3, 5*time.Second)
	for _, f := range fx.fakes {
		f.pauses = true
	}
	cold := 0
	for range 100 {
		fx.load(0.3, 100*time.Millisecond)
		for _, g := range fx.sets[0].Status() {
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

// Guards against load on a cold searcher at a reduced share, while another home
// may be using its cold limit.
func TestColdSearcherBelowFullShare(t *testing.T) {
	for _, share := range []lease.Share{lease.Reserved, lease.Acting} {
		fx := newFixture(fixtureSpec{seed: 3, shards: 1, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current})
		fx.fakes["s00-0"].cold = true
		fx.share = share
		fx.apply()
		sent := 0
		for range 200 {
			fx.send(0, shard.RequestSpec{Idempotent: true, Acting: true}, func(r shard.Result) {
				if r.Kind() == refusal.None {
					sent++
				}
			})
			fx.clk.run(20 * time.Millisecond)
		}
		if f := fx.fakes["s00-0"]; f.ran > 0 || sent < 150 {
			t.Errorf("share %s: cold searcher ran %d requests, %d of 200 were answered", share, f.ran, sent)
		}
	}
}

// Guards against retries that move refused requests from one cold searcher to
// the next.
func TestColdRefusalRetry(t *testing.T) {
	fx := newFixture(fixtureSpec{seed: 4, shards: 1, replicas: 3, slots: 4, daemons: 1, policy: catalogue.Current})
	fx.clk.run(time.Second)
	for _, name := range fx.names {
		// A searcher with a cold limit of 0 refuses all requests.
		fx.fakes[name].cold, fx.fakes[name].claimsReady, fx.fakes[name].refuseAll = true, true, true
	}
	kinds := make(map[refusal.Kind]int)
	attempts := 0
	for range 50 {
		fx.send(0, shard.RequestSpec{Idempotent: true}, func(r shard.Result) {
			kinds[r.Kind()]++
			attempts = max(attempts, r.Attempts())
		})
	}
	fx.clk.run(2 * time.Second)
	if kinds[refusal.None] > 0 || attempts > 1 {
		t.Errorf("results %v, up to %d attempts", kinds, attempts)
	}
}
