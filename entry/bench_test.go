package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// benchShards holds the shard counts of current services, and 130, the fan-out
// expected in two years.
var benchShards = []int{1, 20, 30, 130}

const benchHits = 10

func benchLayout(n int) (*catalogue.Service, *layout, *labelTable) {
	var shards []*catalogue.Shard
	for i := range n {
		shards = append(shards, catalogue.NewShard(catalogue.ShardSpec{
			EntrySpec: catalogue.EntrySpec{Name: fmt.Sprintf("s%d", i)},
			Searchers: []*catalogue.Searcher{catalogue.NewSearcher(catalogue.SearcherSpec{})},
		}))
	}
	s := catalogue.NewService(catalogue.ServiceSpec{
		EntrySpec: catalogue.EntrySpec{Name: "songs"}, Shards: shards, GroupSize: 4, ExtraBudget: 0.05,
	})
	l, t := newLayout(s), newLabelTable(clock.System{})
	for i, g := range l.shards {
		t.update(g.groups[0], []shard.Label{benchLabel(i, n, 2), benchLabel(i, n, 1)})
	}
	return s, l, t
}

func benchLabel(i, n int, snapshot uint64) shard.Label {
	return shard.NewLabel(shard.LabelSpec{
		Snapshot: snapshot, Map: "m", Low: uint64(100 * i), High: uint64(100 * (i + 1)), Documents: 100, Total: uint64(100 * n),
	})
}

func benchResult(r shard.Request, i, n int) shard.Result {
	hits := make([]shard.Hit, benchHits)
	for k := range hits {
		hits[k] = shard.NewHit(shard.HitSpec{ID: fmt.Sprintf("d%d-%d", i, k), Score: float64((i*7+k*31)%101) - float64(k)})
	}
	return shard.NewResult(shard.ResultSpec{
		Ran: refusal.DidRun, Shard: r.Shard(), Group: r.Group(), Label: benchLabel(i, n, 2), Hits: hits,
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range benchShards {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			_, l, t := benchLayout(n)
			b.ReportAllocs()
			for b.Loop() {
				if p, ok := choosePlan(l, t, "q1", nil); !ok || !p.complete() {
					b.Fatal("no plan")
				}
			}
		})
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range benchShards {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			_, l, t := benchLayout(n)
			p, _ := choosePlan(l, t, "q1", nil)
			for i := range p.subqueries {
				r := shard.NewRequest(shard.RequestSpec{Shard: p.subqueries[i].shard, Group: p.subqueries[i].group})
				res := benchResult(r, i, n)
				p.subqueries[i].accepted, p.subqueries[i].result = true, &res
			}
			b.ReportAllocs()
			for b.Loop() {
				if a := merge("q1", benchHits, p); a.fraction() != 1 {
					b.Fatal("merge is incomplete")
				}
			}
		})
	}
}

// BenchmarkSearch measures a whole query over 7 homes, without peer calls.
func BenchmarkSearch(b *testing.B) {
	for _, n := range benchShards {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			s, l, _ := benchLayout(n)
			byGroup := make(map[string]int)
			results := make([]shard.Result, n)
			for i, g := range l.shards {
				byGroup[g.groups[0]] = i
				results[i] = benchResult(shard.NewRequest(shard.RequestSpec{Shard: g.shard, Group: g.groups[0]}), i, n)
			}
			var orders [7][]Home
			for i := range orders {
				orders[i] = []Home{NewHome(HomeSpec{Name: fmt.Sprint("d", i), Self: i == 0})}
			}
			estate := catalogue.NewEstate(catalogue.EstateSpec{Generation: 1, Services: []*catalogue.Service{s}})
			e := New(Fleet{
				Estate:             func() (catalogue.Estate, bool) { return estate, true },
				PreferenceList:     func(g string) []Home { return orders[byGroup[g]%7] },
				Local:              func(_ context.Context, r shard.Request) shard.Result { return results[byGroup[r.Group()]] },
				AvailableSnapshots: func(g string) []shard.Label { return []shard.Label{benchLabel(byGroup[g], n, 2)} },
				Relay: func(_ context.Context, _ Home, batch []shard.Request) ([]shard.Result, error) {
					out := make([]shard.Result, len(batch))
					for i, r := range batch {
						out[i] = results[byGroup[r.Group()]]
					}
					return out, nil
				},
			})
			for i, g := range l.shards {
				e.labels.update(g.groups[0], []shard.Label{benchLabel(i, n, 2)})
			}
			q := Query{id: "q1", owner: "o", class: catalogue.Interactive, service: "songs", route: "r", deadline: time.Second, limit: benchHits}
			b.ReportAllocs()
			for b.Loop() {
				if a, err := e.Search(context.Background(), q, e.clk.Boot()); err != nil || a.fraction() != 1 {
					b.Fatal(a, err)
				}
			}
		})
	}
}
