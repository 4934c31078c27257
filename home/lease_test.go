package home

import (
	"fmt"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// Guards against a send that reads the lease end more than once. Another
// goroutine may change it between the reads, which broke the invariant
// home.send_within_lease and gave the call a deadline in the past.
func TestLeaseEndChange(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newStressRun(t, seed)
			s.randomLeaseEnd = true
			s.every(4*time.Millisecond, s.request)
			s.every(200*time.Millisecond, s.injectFault)
			s.clk.run(stressDuration + 5*time.Second)
			s.check()
			t.Logf("%d requests, results %v", s.sent, s.kinds)
		})
	}
}

// Guards against sends to a searcher that belongs to two moves, one of which
// has share 0. The catalogue lists it with the new version of a finished move,
// and it reports the new version of the next move, as after a restart in place.
func TestTwoMovesToOneSearcher(t *testing.T) {
	for seed := range uint64(3) {
		first := catalogue.NewMove(catalogue.MoveSpec{EntrySpec: catalogue.EntrySpec{Name: "m"}, From: "v1", To: "v2"})
		next := catalogue.NewMove(catalogue.MoveSpec{EntrySpec: catalogue.EntrySpec{Name: "n"}, From: "v2", To: "v3"})
		fx := newFixture(fixtureSpec{
			seed: seed, shards: 1, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current,
			versions: []string{"v2", "v2"}, moves: []*catalogue.Move{first, next},
		})
		fx.fakes["s00-1"].reportedVersion = "v3"
		fx.clk.run(time.Second)
		fx.sets[0].SetMoveShare("svc", "m", 1)
		fx.load(0.2, 5*time.Second)
		if n := fx.fakes["s00-1"].ran; n != 0 || fx.fakes["s00-0"].ran == 0 {
			t.Errorf("seed %d: %d requests ran on a version with share 0", seed, n)
		}
		fx.sets[0].SetMoveShare("svc", "n", 0.25)
		fx.load(0.2, 5*time.Second)
		if fx.fakes["s00-1"].ran == 0 {
			t.Errorf("seed %d: nothing ran on a version with share 0.25", seed)
		}
	}
}
