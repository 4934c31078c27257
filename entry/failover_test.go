package entry

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// sentRequest is one sub-request that a fake home received.
type sentRequest struct {
	home    string
	group   string
	acting  bool
	suspect bool
	id      string
}

// recordSends makes the fake homes record the sub-requests that they receive, and
// disables random faults. Calls to the silent daemon return only when their
// context ends. The returned function returns the records since its last call.
func (c *fakeCluster) recordSends(silent string) func() []sentRequest {
	var mu sync.Mutex
	var list []sentRequest
	c.faultless = true
	relay, local := c.e.fleet.Relay, c.e.fleet.Local
	add := func(name string, r shard.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.Snapshot() != labelQuerySnapshot {
			list = append(list, sentRequest{name, r.Group(), r.Acting(), r.Suspect(), r.ID()})
		}
	}
	c.e.fleet.Local = func(ctx context.Context, r shard.Request) shard.Result {
		add("a", r)
		return local(ctx, r)
	}
	c.e.fleet.Relay = func(ctx context.Context, to Home, batch []shard.Request) ([]shard.Result, error) {
		for _, r := range batch {
			add(to.Name(), r)
		}
		if to.Name() == silent {
			<-ctx.Done()
			return nil, refusal.New(refusal.HomeUnreachable, "silent")
		}
		return relay(ctx, to, batch)
	}
	return func() []sentRequest {
		mu.Lock()
		defer mu.Unlock()
		recorded := list
		list = nil
		return recorded
	}
}

func query(id string) Query {
	return Query{
		id: id, owner: "o", class: catalogue.Interactive, service: "songs", route: "r",
		deadline: 2 * time.Second, limit: 5, body: []byte(id),
	}
}

// Guards against a partial answer when a home is silent, and against later queries
// that wait for the silent home again. Also guards against a second send with the
// identifier of the first: a late cancellation of the first would cancel both.
func TestFanoutSilentHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(t, 1)
		drainSends := c.recordSends("b")
		for i := range testShards {
			c.e.labels.update(groupID(i), c.labels(groupID(i)))
		}
		for k, id := range []string{"first", "second"} {
			began := time.Now()
			a, err := c.e.Search(context.Background(), query(id), c.clk.Boot())
			if err != nil || len(a.missing) > 0 {
				t.Fatalf("%s: %+v, %v", id, a, err)
			}
			if took := time.Since(began); k == 1 && took >= maxSilence {
				t.Errorf("second query took %v", took)
			}
			ids := make(map[string]string) // Group and identifier to group and home.
			for _, s := range drainSends() {
				if key := s.group + s.home; ids[s.group+s.id] != "" && ids[s.group+s.id] != key {
					t.Errorf("%s: %+v has the identifier of another send", id, s)
				} else {
					ids[s.group+s.id] = key
				}
				homeIsSilent := (s.group[len("songs/s")]-'0')%3 == 1
				if s.acting != (s.home == "c" && homeIsSilent) {
					t.Errorf("%s: send %+v has the wrong value of acting", id, s)
				}
			}
		}
		time.Sleep(5 * time.Second)
	})
}

// Guards against a suspect query that is fanned out to all shards before one shard
// has run it without a crash, and against a retry after the crash.
func TestFanoutSuspectOneShardFirst(t *testing.T) {
	for _, crash := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeCluster(t, 1)
			drainSends := c.recordSends("")
			c.e.suspectState = func(uint64) SuspectState { return Suspect }
			for i := range testShards {
				c.e.labels.update(groupID(i), c.labels(groupID(i)))
			}
			crashed := func(r shard.Request) shard.Result {
				return shard.NewResult(shard.ResultSpec{
					Kind: refusal.SearcherFailed, Ran: refusal.DidRun, Shard: r.Shard(), Group: r.Group(), Crashed: true,
				})
			}
			local, relay := c.e.fleet.Local, c.e.fleet.Relay
			c.e.fleet.Local = func(ctx context.Context, r shard.Request) shard.Result {
				if res := local(ctx, r); !crash {
					return res
				}
				return crashed(r)
			}
			c.e.fleet.Relay = func(ctx context.Context, to Home, batch []shard.Request) ([]shard.Result, error) {
				if res, err := relay(ctx, to, batch); !crash {
					return res, err
				}
				return []shard.Result{crashed(batch[0])}, nil
			}
			_, err := c.e.Search(context.Background(), query("q"), c.clk.Boot())
			list := drainSends()
			if crash {
				if e := refusal.FromError(err); len(list) != 1 || e.Ran() != refusal.DidRun {
					t.Errorf("after the crash: %d sends, error %v; want 1 send that ran", len(list), err)
				}
				return
			}
			if err != nil || len(list) != testShards {
				t.Errorf("%d sends, error %v; want 1 send for each of %d shards", len(list), err, testShards)
			}
			groups := make(map[string]bool)
			for _, s := range list {
				groups[s.group] = s.suspect
			}
			if len(groups) != testShards || slices.ContainsFunc(list, func(s sentRequest) bool { return !s.suspect }) {
				t.Errorf("sends miss a shard or are not all marked as suspect: %+v", list)
			}
			time.Sleep(5 * time.Second)
		})
	}
}

// Guards against partial answers when a home becomes silent right after an answer,
// which made it look alive to the queries that it already had. 40 such queries with
// enough credit also guard against a maxBurst that is too low.
func TestFanoutHomeSilentAfterAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(t, 1)
		c.recordSends("b")
		for i := range testShards {
			c.e.labels.update(groupID(i), c.labels(groupID(i)))
		}
		const queries = 40
		for range 100 * queries {
			c.e.budget.earn("songs", 0.05, testShards, testShards)
		}
		var wg sync.WaitGroup
		for k := range queries {
			wg.Go(func() {
				time.Sleep(time.Duration(k) * time.Millisecond)
				a, err := c.e.Search(context.Background(), query("q"), c.clk.Boot())
				if err != nil || len(a.missing) > 0 {
					t.Errorf("query %d: %+v, %v", k, a, err)
				}
			})
		}
		time.Sleep(queries / 2 * time.Millisecond)
		c.e.reachability.recordSuccess(NewHome(HomeSpec{Name: "b"}))
		wg.Wait()
		time.Sleep(5 * time.Second)
	})
}
