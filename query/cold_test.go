package query_test

import (
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/targets"
)

// Guards against requests that wait until their deadline because more shards
// than may be missing have only cold targets. The load is 15 requests per
// second, the limit of the two cold targets of a shard is 8.
func TestGatherRefusesBeyondColdLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 11, 20, behaviour())
		defer c.close()
		limits := targets.NewColdLimits(4, 1.5, 5, 1, 0)
		for _, name := range []string{"shard0", "shard1", "shard2", "shard3"} {
			c.groups[name].Resize(targets.NewGroupLimits(3, limits, targets.NewBudgetLimits(0.2, 54, 1), true))
			c.setCold(name, time.Minute)
		}
		replies := c.load(15, 10*time.Second)
		answered := 0
		for _, r := range replies {
			switch f := r.answer.Refusal(); {
			case f == nil:
				answered++
			case f.Kind() != "no_searcher" || r.answer.RetryAfter() == 0 || r.took > 5*time.Millisecond:
				t.Errorf("refused as %s after %v with retry after %v, want no_searcher within 5 ms with a retry time", f.Kind(), r.took, r.answer.RetryAfter())
			}
		}
		// Each of the two targets may get 4 requests per second; daemons use a
		// fraction of 0.8 of that.
		if answered < 50 {
			t.Errorf("%d of %d requests were answered, want 50 or more", answered, len(replies))
		}
		for _, name := range []string{"shard0", "shard3"} {
			for _, tgt := range c.targets[name] {
				if n := tgt.MaxArrivals(time.Second); n > 11 {
					t.Errorf("cold target %s got %d requests within a second, the bound is 11", tgt.ID(), n)
				}
			}
		}
	})
}
