package home

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/refusal"
)

// Guards against lost answers when all established connections to a group
// become silent while new ones work, even if a hedge was sent over another
// silent connection.
func TestSilentConnectionReplacement(t *testing.T) {
	for seed := range uint64(20) {
		fx := newFixture(fixtureSpec{seed: seed, shards: 4, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current})
		fx.clk.run(time.Second)
		fx.load(0.3, 5*time.Second)
		fx.fakes["s02-0"].staleConnections, fx.fakes["s02-1"].staleConnections = true, true
		fx.load(0.3, 5*time.Second)
		fx.clk.run(time.Second)
		if fx.partial > 0 {
			t.Errorf("seed %d: %d partial answers", seed, fx.partial)
		}
		for _, s := range fx.sets[0].Status()[2].Searchers() {
			if s.State() != "warm" {
				t.Errorf("seed %d: searcher %s is %s though only its connections were silent", seed, s.Name(), s.State())
			}
		}
	}
}

// Guards against results after the deadline when all searchers of a shard stop
// replying.
func TestSilentShardDeadline(t *testing.T) {
	fx := newFixture(fixtureSpec{seed: 6, shards: 4, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current})
	fx.clk.run(time.Second)
	fx.load(0.3, 5*time.Second)
	fx.fakes["s02-0"].silent, fx.fakes["s02-1"].silent = true, true
	fx.kinds = make(map[refusal.Kind]int)
	fx.load(0.3, 5*time.Second)
	fx.clk.run(time.Second)
	if fx.partial == 0 || fx.late > 0 {
		t.Errorf("%d partial answers, %d results after the deadline", fx.partial, fx.late)
	}
	t.Logf("results %v", fx.kinds)
	fx.fakes["s02-0"].silent, fx.fakes["s02-1"].silent = false, false
	fx.load(0.3, 5*time.Second)
	fx.partial = 0
	fx.load(0.3, 5*time.Second)
	if fx.partial > 0 {
		t.Errorf("%d partial answers after the shard came back", fx.partial)
	}
}
