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

// sent is one sub-request that a fake home received.
type sent struct {
	home   string
	group  string
	acting bool
	marked bool // As suspect.
	id     string
}

// record replaces the homes of w by ones that note what they receive. Calls to
// the silent daemon never return.
func (w *world) record(silent string) func() []sent {
	var mu sync.Mutex
	var list []sent
	w.healthy = true
	relay, local := w.e.fleet.Relay, w.e.fleet.Local
	note := func(name string, r shard.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.Snapshot() != askSnapshot {
			list = append(list, sent{name, r.Group(), r.Acting(), r.Suspect(), r.ID()})
		}
	}
	w.e.fleet.Local = func(ctx context.Context, r shard.Request) shard.Result {
		note("a", r)
		return local(ctx, r)
	}
	w.e.fleet.Relay = func(ctx context.Context, to Home, batch []shard.Request) ([]shard.Result, error) {
		for _, r := range batch {
			note(to.Name(), r)
		}
		if to.Name() == silent {
			<-ctx.Done()
			return nil, refusal.New(refusal.HomeUnreachable, "silent")
		}
		return relay(ctx, to, batch)
	}
	return func() []sent {
		mu.Lock()
		defer mu.Unlock()
		taken := list
		list = nil
		return taken
	}
}

func query(id string) Query {
	return Query{
		id: id, owner: "o", class: catalogue.Interactive, service: "songs", route: "r",
		deadline: 2 * time.Second, limit: 5, body: []byte(id),
	}
}

// Guards against a silent home that costs callers their answer, against later
// queries that wait for it again, and against a second send under the identifier
// of the first, which a late cancellation would end.
func TestSilentHomeIsReplacedByActingHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		taken := w.record("b")
		for i := range worldShards {
			w.e.table.learn(groupID(i), w.labels(groupID(i)))
		}
		for k, id := range []string{"first", "second"} {
			began := time.Now()
			a, err := w.e.Search(context.Background(), query(id), w.clk.Boot())
			if err != nil || len(a.missing) > 0 {
				t.Fatalf("%s: %+v, %v", id, a, err)
			}
			if took := time.Since(began); k == 1 && took >= maxSilence {
				t.Errorf("second query took %v", took)
			}
			ids := make(map[string]string) // Identifier to group and home.
			for _, s := range taken() {
				if key := s.group + s.home; ids[s.group+s.id] != "" && ids[s.group+s.id] != key {
					t.Errorf("%s: %+v has the identifier of another send", id, s)
				} else {
					ids[s.group+s.id] = key
				}
				ofSilent := (s.group[len("songs/s")]-'0')%3 == 1
				if s.acting != (s.home == "c" && ofSilent) {
					t.Errorf("%s: sent %+v", id, s)
				}
			}
		}
		time.Sleep(5 * time.Second)
	})
}

// Guards against a suspect that is fanned out to all shards before one of them
// has survived it, or that is retried.
func TestSuspectGoesToOneShardFirst(t *testing.T) {
	for _, crash := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 1)
			taken := w.record("")
			w.e.suspectState = func(uint64) SuspectState { return Suspect }
			for i := range worldShards {
				w.e.table.learn(groupID(i), w.labels(groupID(i)))
			}
			crashed := func(r shard.Request) shard.Result {
				return shard.NewResult(shard.ResultSpec{
					Kind: refusal.SearcherFailed, Ran: refusal.DidRun, Shard: r.Shard(), Group: r.Group(), Crashed: true,
				})
			}
			local, relay := w.e.fleet.Local, w.e.fleet.Relay
			w.e.fleet.Local = func(ctx context.Context, r shard.Request) shard.Result {
				if res := local(ctx, r); !crash {
					return res
				}
				return crashed(r)
			}
			w.e.fleet.Relay = func(ctx context.Context, to Home, batch []shard.Request) ([]shard.Result, error) {
				if res, err := relay(ctx, to, batch); !crash {
					return res, err
				}
				return []shard.Result{crashed(batch[0])}, nil
			}
			_, err := w.e.Search(context.Background(), query("q"), w.clk.Boot())
			list := taken()
			if crash {
				if e := refusal.Of(err); len(list) != 1 || e.Ran() != refusal.DidRun {
					t.Errorf("crash: %d sends, %v", len(list), err)
				}
				return
			}
			if err != nil || len(list) != worldShards {
				t.Errorf("%d sends, %v", len(list), err)
			}
			groups := make(map[string]bool)
			for _, s := range list {
				groups[s.group] = s.marked
			}
			if len(groups) != worldShards || slices.ContainsFunc(list, func(s sent) bool { return !s.marked }) {
				t.Errorf("sends %+v", list)
			}
			time.Sleep(5 * time.Second)
		})
	}
}

// Guards against a home that falls silent right after it has answered another
// query, which hid its silence from the queries that it already had, and against
// more of these than a small burst that miss their answer although the budget was
// earned.
func TestHomeSilentAfterAnotherAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.record("b")
		for i := range worldShards {
			w.e.table.learn(groupID(i), w.labels(groupID(i)))
		}
		const queries = 40
		for range 100 * queries {
			w.e.budget.earn("songs", 0.05, worldShards, worldShards)
		}
		var wg sync.WaitGroup
		for k := range queries {
			wg.Go(func() {
				time.Sleep(time.Duration(k) * time.Millisecond)
				a, err := w.e.Search(context.Background(), query("q"), w.clk.Boot())
				if err != nil || len(a.missing) > 0 {
					t.Errorf("query %d: %+v, %v", k, a, err)
				}
			})
		}
		time.Sleep(queries / 2 * time.Millisecond)
		w.e.reach.answered(NewHome(HomeSpec{Name: "b"}))
		wg.Wait()
		time.Sleep(5 * time.Second)
	})
}
