package query_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/route"
	"medlaryard.example/medlaryard/standin/shards"
	"medlaryard.example/medlaryard/targets"
)

// Guards against a late second copy of a refusal that is taken for the answer to
// the next send of the same request, which then runs although its caller is told
// that it has not run (REFUSED).
func TestLateCopyOfRefusalHidesRun(t *testing.T) {
	single := []route.Option{route.MaxTargets(2), route.Timeout(1500 * time.Millisecond), route.Objective(objective), route.Split([]string{"shard0"}, []float64{1})}
	once := route.New("play", "songs.example", "/match/", single...)
	for _, kind := range []struct {
		name   string
		route  *route.Route // Nil for the sharded route of the cluster.
		copies []shards.Option
	}{
		{"once", once, nil},
		{"once, copies on other connections", once, []shards.Option{shards.CopiesAcross()}},
		{"idempotent", route.New("find", "songs.example", "/match/", append(single, route.Idempotent())...), nil},
		{"sharded", nil, nil},
	} {
		t.Run(kind.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := behaviour(shards.Shedding(0.6), shards.LateCopies(0.5)).With(kind.copies...)
				c := newTestCluster(t, 7, 1, b)
				defer c.close()
				c.groups["shard0"].Resize(targets.NewGroupLimits(3, targets.ColdLimits{}, targets.NewBudgetLimits(2, 1000, 1), true))
				if kind.route != nil {
					c.route = kind.route
				}
				refused := make(map[string]*refusal.Error)
				for i := range 400 {
					id := fmt.Sprintf("q%d", i)
					if e := c.request(context.Background(), id).answer.Refusal(); e != nil && e.Ran() == refusal.NotRun {
						refused[id] = e
					}
				}
				time.Sleep(time.Second) // Targets may run requests late.
				for _, tgt := range c.targets["shard0"] {
					for id, runs := range tgt.Runs() {
						if e := refused[id]; e != nil {
							t.Errorf("request %s is refused as not run (%v), %s ran it %d times", id, e, tgt.ID(), runs)
						}
					}
				}
			})
		})
	}
}
