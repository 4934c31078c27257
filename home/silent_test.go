package home

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/refusal"
)

// Guards against answers that are lost because all established connections of a
// group went silent while new ones work, also where a hedge went out over another
// silent one.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	for seed := range uint64(20) {
		y := newFixture(fixtureSpec{seed: seed, shards: 4, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current})
		y.c.run(time.Second)
		y.load(0.3, 5*time.Second)
		y.fakes["s02-0"].stale, y.fakes["s02-1"].stale = true, true
		y.load(0.3, 5*time.Second)
		y.c.run(time.Second)
		if y.partial > 0 {
			t.Errorf("seed %d: %d partial answers", seed, y.partial)
		}
		for _, s := range y.sets[0].Status()[2].Searchers() {
			if s.State() != "warm" {
				t.Errorf("seed %d: searcher %s is %s though only its connections were silent", seed, s.Name(), s.State())
			}
		}
	}
}

// Guards against requests that wait beyond their deadline for a silent shard.
func TestSilentShardIsAnsweredOnTime(t *testing.T) {
	y := newFixture(fixtureSpec{seed: 6, shards: 4, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current})
	y.c.run(time.Second)
	y.load(0.3, 5*time.Second)
	y.fakes["s02-0"].silent, y.fakes["s02-1"].silent = true, true
	y.kinds = make(map[refusal.Kind]int)
	y.load(0.3, 5*time.Second)
	y.c.run(time.Second)
	if y.partial == 0 || y.late > 0 {
		t.Errorf("%d partial answers, %d results after the deadline", y.partial, y.late)
	}
	t.Logf("results %v", y.kinds)
	y.fakes["s02-0"].silent, y.fakes["s02-1"].silent = false, false
	y.load(0.3, 5*time.Second)
	y.partial = 0
	y.load(0.3, 5*time.Second)
	if y.partial > 0 {
		t.Errorf("%d partial answers after the shard came back", y.partial)
	}
}
