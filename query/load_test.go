package query_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/query"
	"medlaryard.example/medlaryard/standin/shards"
)

// behaviour returns the behaviour of targets of the smaller deployment: 2 slots
// and 11 ms of work. Pauses of 120 ms every 3 s are added by the tests.
func behaviour(opts ...shards.Option) shards.Behaviour {
	opts = append([]shards.Option{
		shards.Slots(2), shards.ServiceTimeSpread(0.35), shards.MaxConnections(26), shards.Handshake(6 * time.Millisecond),
	}, opts...)
	return shards.NewBehaviour(11*time.Millisecond, opts...)
}

// objective is the objective of the route in these tests.
const objective = 100 * time.Millisecond

// recordSize equals the constant recordBytes of package query.
const recordSize = 16

// Guards against answers that miss their objective because at any time one of
// many targets is paused.
func TestGatherWithPausingTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 1, 20, behaviour(shards.Pauses(120*time.Millisecond, 3*time.Second)))
		defer c.close()
		replies := c.load(15, 20*time.Second)
		inTime, coverage := successRate(replies, objective)
		if inTime < 0.99 || coverage < 0.99 {
			t.Errorf("%.4f in time with %.4f of the parts, want 0.99 of both", inTime, coverage)
		}
		if extra := c.extraSends(len(replies)); extra > 0.2 {
			t.Errorf("%.3f extra sends for each request, the bound is 0.2", extra)
		}
	})
}

// Guards against slow targets that delay every answer, and against recovered
// targets that get no requests.
func TestGatherSlowTargetRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 2, 20, behaviour())
		defer c.close()
		c.load(15, 3*time.Second)
		for i := range 3 {
			c.targets[fmt.Sprintf("shard%d", i)][0].SetBehaviour(behaviour(shards.Slow(9)))
		}
		inTime, coverage := successRate(c.load(15, 8*time.Second), objective)
		if inTime < 0.97 || coverage < 0.99 {
			t.Errorf("while slow: %.4f in time with %.4f of the parts, want 0.97 and 0.99", inTime, coverage)
		}
		for i := range 3 {
			c.targets[fmt.Sprintf("shard%d", i)][0].SetBehaviour(behaviour())
		}
		c.load(15, 3*time.Second)
		before := len(c.targets["shard0"][0].Runs())
		c.load(15, 6*time.Second)
		if after := len(c.targets["shard0"][0].Runs()); after-before < 15 {
			t.Errorf("recovered target got %d of 90 requests, want 15 or more", after-before)
		}
	})
}

// Guards against waiting for a shard without an available target, and against
// an answer that does not count it as missing.
func TestGatherWithoutOneShard(t *testing.T) {
	for name, b := range map[string]shards.Option{"down": shards.Down(), "dark": shards.Blackhole()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 3, 20, behaviour())
				defer c.close()
				c.load(15, 2*time.Second)
				for _, tgt := range c.targets["shard7"] {
					tgt.SetBehaviour(behaviour(b))
				}
				replies := c.load(15, 4*time.Second)
				inTime, _ := successRate(replies, objective)
				if inTime < 0.99 {
					t.Errorf("%.4f in time, want 0.99", inTime)
				}
				for _, r := range replies {
					if m := r.answer.Merged(); m != nil && r.at > time.Second && (m.Missing() != 1 || r.parts != 19) {
						t.Errorf("answer at %v has %d parts and misses %d, want 19 and 1", r.at, r.parts, m.Missing())
					}
				}
			})
		})
	}
}

// Guards against overloading slow shards: if every request waits for all of
// them, they answer none in time, although each request needs only some of
// them.
func TestGatherDefersSlowShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 12, 20, behaviour())
		defer c.close()
		c.load(20, 3*time.Second)
		// The targets of 4 of the 20 shards become 12 times slower; a request
		// needs 18 parts. A slow target gets one request at a time, so the 4
		// shards serve 60 parts per second. The load of 20 requests per second
		// could ask them for 80 parts per second, of which 40 are enough.
		for i := range 4 {
			for _, tgt := range c.targets[fmt.Sprintf("shard%d", i)] {
				tgt.SetBehaviour(behaviour(shards.Slow(12)))
			}
		}
		c.load(20, 2*time.Second)
		replies := c.load(20, 8*time.Second)
		answered, _ := successRate(replies, 1500*time.Millisecond)
		if answered < 0.95 {
			t.Errorf("%.3f of the requests were answered, want 0.95", answered)
		}
		if median := medianLatency(replies); median > 400*time.Millisecond {
			t.Errorf("the median answer took %v, want at most 400ms", median)
		}
	})
}

// medianLatency returns the median time to an answer or refusal.
func medianLatency(replies []reply) time.Duration {
	took := make([]time.Duration, len(replies))
	for i, r := range replies {
		took[i] = r.took
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// Guards against delaying the refusal of requests that cannot be answered, and
// against a refusal that states that nothing ran although parts did.
func TestGatherTooManyShardsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 4, 20, behaviour())
		defer c.close()
		for i := range 5 {
			for _, tgt := range c.targets[fmt.Sprintf("shard%d", i)] {
				tgt.SetBehaviour(behaviour(shards.Down()))
			}
		}
		c.load(20, time.Second)
		before := len(c.targets["shard9"][0].Runs()) + len(c.targets["shard9"][1].Runs())
		for i := range 10 {
			r := c.request(context.Background(), fmt.Sprintf("late%d", i))
			if f := r.answer.Refusal(); f == nil || f.Kind() != "no_searcher" || r.answer.RetryAfter() == 0 {
				t.Errorf("refusal %v with retry after %v, want no_searcher with a retry time", f, r.answer.RetryAfter())
			}
			if r.took > 5*time.Millisecond {
				t.Errorf("refused after %v, want at once", r.took)
			}
		}
		after := len(c.targets["shard9"][0].Runs()) + len(c.targets["shard9"][1].Runs())
		if after != before {
			t.Errorf("%d of the requests refused as not run did run", after-before)
		}
	})
}

// Guards against merged answers with parts of another request, missing parts
// that are not counted and records out of order. The targets fail, and drop and
// duplicate answers.
func TestGatherMergesOwnParts(t *testing.T) {
	for seed := range int64(4) {
		synctest.Test(t, func(t *testing.T) {
			c := newTestCluster(t, seed, 6, behaviour())
			defer c.close()
			for i := range 6 {
				ts := c.targets[fmt.Sprintf("shard%d", i)]
				ts[0].SetBehaviour(behaviour(shards.Failing(0.2), shards.DroppingReplies(0.1), shards.Duplicating(0.2)))
				ts[1].SetBehaviour(behaviour(shards.Shedding(0.2), shards.Duplicating(0.2)))
			}
			for i := range 200 {
				id := fmt.Sprintf("q%d", i)
				r := c.request(context.Background(), id)
				m := r.answer.Merged()
				if m == nil {
					continue
				}
				checkMerged(t, id, m, 6)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// checkMerged compares an answer with the records of the parts whose signatures
// it contains.
func checkMerged(t *testing.T, id string, m *query.Merged, count int) {
	t.Helper()
	if len(m.Stamps())+m.Missing() != count {
		t.Errorf("%s: %d parts and %d missing, want %d in all", id, len(m.Stamps()), m.Missing(), count)
	}
	var all [][]byte
	seen := make(map[string]bool)
	for _, stamp := range m.Stamps() {
		var shard, replica int
		var requestID string
		if _, err := fmt.Sscanf(stamp, "shard%d-%d.%s", &shard, &replica, &requestID); err != nil || requestID != id {
			t.Fatalf("%s: signature %q is not of this request", id, stamp)
		}
		if key := fmt.Sprint(shard); seen[key] {
			t.Errorf("%s: two parts of shard %d", id, shard)
		} else {
			seen[key] = true
		}
		part := shards.Records(fmt.Sprintf("shard%d-%d", shard, replica), "/match/"+id)
		for len(part) > 0 {
			all = append(all, part[:recordSize])
			part = part[recordSize:]
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	want := bytes.Join(all[:min(50, len(all))], nil)
	if !bytes.Equal(want, m.Records()) {
		t.Errorf("%s: records are not the greatest of the parts in descending order", id)
	}
}

// Guards against extra sends beyond the budget while every target fails or
// refuses requests, when extra sends add to the overload.
func TestGatherExtraSendBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 5, 4, behaviour())
		defer c.close()
		for _, ts := range c.targets {
			for _, tgt := range ts {
				tgt.SetBehaviour(behaviour(shards.Failing(0.5), shards.Shedding(0.3)))
			}
		}
		replies := c.load(40, 10*time.Second)
		// The ratio per request plus the slack of one window of 10 s.
		limit := 0.2 + 54/float64(len(replies))
		if extra := c.extraSends(len(replies)); extra > limit {
			t.Errorf("%.3f extra sends for each request, the bound is %.3f", extra, limit)
		}
	})
}

// Guards against more connections to a target than this daemon's share.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 6, 4, behaviour(shards.Pauses(120*time.Millisecond, time.Second)))
		defer c.close()
		c.load(100, 5*time.Second)
		for name, ts := range c.targets {
			for _, tgt := range ts {
				if n := tgt.PeakConnections(); n > 3 {
					t.Errorf("a target of %s had %d connections, the share is 3", name, n)
				}
			}
		}
	})
}

// Guards against targets that go on working on a request whose caller has left.
func TestEngineCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 7, 4, behaviour())
		defer c.close()
		for _, ts := range c.targets {
			for _, tgt := range ts {
				tgt.SetBehaviour(behaviour(shards.Silent()))
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		r := c.request(ctx, "left")
		if f := r.answer.Refusal(); f == nil || f.Kind() != "cancelled" || r.took > 31*time.Millisecond {
			t.Errorf("refusal %v after %v, want cancelled within 1 ms of the caller's leaving", f, r.took)
		}
		time.Sleep(500 * time.Millisecond)
		for name, g := range c.groups {
			if n := g.InFlight(); n != 0 {
				t.Errorf("%s still has %d requests in flight half a second later", name, n)
			}
		}
	})
}

// Guards against a request that adds to the budget more than once because its
// shard has no target at first and is tried again.
func TestBudgetEarnedOncePerRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 8, 20, behaviour())
		defer c.close()
		g := c.groups["shard0"]
		g.Update(nil)
		for _, tgt := range c.targets["shard1"] {
			tgt.SetBehaviour(behaviour(shards.Silent())) // Delays the answer until the objective.
		}
		before := g.Budget()
		c.request(context.Background(), "q")
		if earned := g.Budget() - before; earned > 0.2 {
			t.Errorf("one request earned %.2f extra sends, the ratio is 0.2", earned)
		}
	})
}

// Guards against a request that crashes every target that runs it and is
// repeated by its caller until no target is left.
func TestPoisonRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 9, 4, behaviour(shards.Crashing("poison")))
		defer c.close()
		crashes := func() int {
			n := 0
			for _, ts := range c.targets {
				for _, tgt := range ts {
					n += tgt.Crashes()
				}
			}
			return n
		}
		c.request(context.Background(), "poison")
		first := crashes()
		for range 20 {
			time.Sleep(4 * time.Second) // The crashed targets restart.
			c.request(context.Background(), "poison")
		}
		if again := crashes() - first; again > 1 {
			t.Errorf("the repeated request crashed %d more targets, want 1", again)
		}
		r := c.request(context.Background(), "poison")
		if f := r.answer.Refusal(); f == nil || f.Kind() != "poisoned" {
			t.Errorf("refusal %v, want poisoned", f)
		}
		if r := c.request(context.Background(), "other"); r.parts != 4 {
			t.Errorf("another request has %d parts, want 4", r.parts)
		}
	})
}

// Guards against refusing requests that were in flight when targets crashed for
// another reason.
func TestCrashBystander(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 10, 4, behaviour())
		defer c.close()
		for range 5 {
			time.AfterFunc(5*time.Millisecond, func() {
				for _, ts := range c.targets {
					ts[0].SetBehaviour(behaviour(shards.Down()))
				}
			})
			c.request(context.Background(), "bystander")
			time.Sleep(time.Second)
			for _, ts := range c.targets {
				ts[0].SetBehaviour(behaviour())
			}
			time.Sleep(2 * time.Second)
			if r := c.request(context.Background(), "bystander"); r.parts != 4 {
				t.Errorf("%d parts after the targets have recovered, refusal %v; want 4 parts", r.parts, r.answer.Refusal())
			}
		}
	})
}
