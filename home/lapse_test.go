package home

import (
	"fmt"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// Guards against sends that read the lease's end more than once. It came from
// another goroutine and changed in between, which broke the invariant of sends
// within the lease; the call got a deadline in the past as well.
func TestLeaseLapsesBetweenReads(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newStorm(t, seed)
			s.lapses = true
			s.every(4*time.Millisecond, s.request)
			s.every(200*time.Millisecond, s.trouble)
			s.c.run(stormRun + 5*time.Second)
			s.check()
			t.Logf("%d requests, results %v", s.sent, s.kinds)
		})
	}
}

// Guards against sends to a searcher that two moves cover of which one permits
// none: it is listed with the new version of a finished move and states the new
// version of the next one, as after a restart in place.
func TestTwoMovesToOneSearcher(t *testing.T) {
	for seed := range uint64(3) {
		first := catalogue.NewMove(catalogue.MoveSpec{EntrySpec: catalogue.EntrySpec{Name: "m"}, From: "v1", To: "v2"})
		next := catalogue.NewMove(catalogue.MoveSpec{EntrySpec: catalogue.EntrySpec{Name: "n"}, From: "v2", To: "v3"})
		y := newFixture(fixtureSpec{
			seed: seed, shards: 1, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current,
			versions: []string{"v2", "v2"}, moves: []*catalogue.Move{first, next},
		})
		y.fakes["s00-1"].states = "v3"
		y.c.run(time.Second)
		y.sets[0].SetMoveShare("svc", "m", 1)
		y.load(0.2, 5*time.Second)
		if n := y.fakes["s00-1"].ran; n != 0 || y.fakes["s00-0"].ran == 0 {
			t.Errorf("seed %d: %d requests ran on a version with share 0", seed, n)
		}
		y.sets[0].SetMoveShare("svc", "n", 0.25)
		y.load(0.2, 5*time.Second)
		if y.fakes["s00-1"].ran == 0 {
			t.Errorf("seed %d: nothing ran on a version with share 0.25", seed)
		}
	}
}
