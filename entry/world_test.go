package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

func init() { invariant.FatalInTests() }

// bubble is the fake clock of testing/synctest as a clock.Clock.
type bubble struct {
	clock.System
	start time.Time
}

func (b bubble) Boot() time.Duration { return time.Hour + time.Since(b.start) }

const (
	worldShards = 6
	worldKeys   = 600
)

// world holds the documents of every snapshot and fake homes that serve them.
type world struct {
	t       *testing.T
	clk     bubble
	e       *Entry
	estate  catalogue.Estate
	healthy bool

	mu   sync.Mutex
	rng  *rand.Rand
	held map[string][]shard.Label // By group, newest first.
	ran  map[string]bool          // By query.
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, clk: bubble{start: time.Now()}, rng: rand.New(rand.NewPCG(seed, 1)),
		held: make(map[string][]shard.Label), ran: make(map[string]bool),
	}
	var shards []*catalogue.Shard
	for i := range worldShards {
		name := fmt.Sprintf("s%d", i)
		shards = append(shards, catalogue.NewShard(catalogue.ShardSpec{
			EntrySpec: catalogue.EntrySpec{Name: name},
			Searchers: []*catalogue.Searcher{catalogue.NewSearcher(catalogue.SearcherSpec{})},
		}))
	}
	w.estate = catalogue.NewEstate(catalogue.EstateSpec{Generation: 1, Services: []*catalogue.Service{
		catalogue.NewService(catalogue.ServiceSpec{
			EntrySpec: catalogue.EntrySpec{Name: "songs"}, Shards: shards, GroupSize: 4, ExtraBudget: 0.05,
			NonIdempotent: true,
		}),
	}})
	for i := range worldShards {
		w.held[groupID(i)] = []shard.Label{label(i, 1, "m0")}
	}
	homes := []Home{
		NewHome(HomeSpec{Name: "a", Self: true}), NewHome(HomeSpec{Name: "b"}), NewHome(HomeSpec{Name: "c"}),
	}
	w.e = New(Fleet{
		Estate: func() (catalogue.Estate, bool) { return w.estate, true },
		PreferenceList: func(group string) []Home {
			k := int(group[len("songs/s")]-'0') % len(homes)
			return append(append([]Home(nil), homes[k:]...), homes[:k]...)
		},
		Local:              func(ctx context.Context, r shard.Request) shard.Result { return w.serve(ctx, r) },
		AvailableSnapshots: w.labels,
		Relay:              w.relay,
	}, WithClock(w.clk))
	return w
}

func groupID(i int) string { return fmt.Sprintf("songs/s%d/0", i) }

// label is the true label of shard i. Map m1 has other boundaries than m0.
func label(i int, snapshot uint64, mapID string) shard.Label {
	shift := uint64(0)
	if mapID == "m1" {
		shift = 30
	}
	edge := func(k int) uint64 {
		if k == 0 || k == worldShards {
			return uint64(k * worldKeys / worldShards)
		}
		return uint64(k*worldKeys/worldShards) + shift
	}
	l := shard.LabelSpec{Snapshot: snapshot, Map: mapID, Low: edge(i), High: edge(i + 1)}
	l.Documents = uint64(len(documents(snapshot, l.Low, l.High)))
	l.Total = uint64(len(documents(snapshot, 0, worldKeys)))
	return shard.NewLabel(l)
}

var (
	cacheMu sync.Mutex
	cache   = make(map[[3]uint64][]shard.Hit)
)

// documents returns the hits of a key range of a snapshot.
func documents(snapshot, low, high uint64) []shard.Hit {
	cacheMu.Lock()
	defer cacheMu.Unlock()
	key := [3]uint64{snapshot, low, high}
	if hits, ok := cache[key]; ok {
		return hits
	}
	var hits []shard.Hit
	for k := low; k < high; k++ {
		x := (k*2654435761 + snapshot*40503) % 1009
		if x%5 == 0 {
			continue // The snapshot lacks the document.
		}
		hits = append(hits, shard.NewHit(shard.HitSpec{ID: fmt.Sprintf("d%d", k), Score: float64(x % 97)}))
	}
	cache[key] = hits
	return hits
}

func (w *world) labels(group string) []shard.Label {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]shard.Label(nil), w.held[group]...)
}

func (w *world) random(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.healthy {
		return n - 1
	}
	return w.rng.IntN(n)
}

// relay serves a batch as a remote home does, with faults of the call itself.
func (w *world) relay(ctx context.Context, _ Home, batch []shard.Request) ([]shard.Result, error) {
	switch w.random(25) {
	case 0:
		return nil, refusal.New(refusal.HomeUnreachable, "refused").WithRan(refusal.NotRun)
	case 1:
		<-ctx.Done()
		return nil, refusal.New(refusal.HomeUnreachable, "silent")
	case 2:
		w.serve(ctx, batch[0])
		return nil, refusal.New(refusal.HomeUnreachable, "connection reset")
	}
	var out []shard.Result
	for _, r := range batch {
		res := w.serve(ctx, r)
		switch w.random(30) {
		case 0:
			out = append(out, res, res)
		case 1: // Lost.
		case 2:
			out = append([]shard.Result{res}, out...)
		default:
			out = append(out, res)
		}
	}
	return out, nil
}

// serve answers one sub-request from what the group holds.
func (w *world) serve(ctx context.Context, r shard.Request) shard.Result {
	spec := shard.ResultSpec{Kind: refusal.SnapshotGone, Ran: refusal.NotRun, Shard: r.Shard(), Group: r.Group()}
	if r.Snapshot() == askSnapshot {
		spec.AvailableSnapshots = w.labels(r.Group())
		return shard.NewResult(spec)
	}
	time.Sleep(time.Duration(1+w.random(40)) * time.Millisecond)
	if ctx.Err() != nil {
		spec.Kind = refusal.Deadline
		return shard.NewResult(spec)
	}
	switch w.random(40) {
	case 0:
		spec.Kind = refusal.NotHome
		return shard.NewResult(spec)
	case 1:
		spec.Kind = refusal.Overloaded
		return shard.NewResult(spec)
	case 2:
		w.markRan(r.ID())
		spec.Kind, spec.Ran = refusal.SearcherFailed, refusal.Unknown
		return shard.NewResult(spec)
	}
	for _, l := range w.labels(r.Group()) {
		if l.Snapshot() == r.Snapshot() {
			return w.answer(spec, r, l)
		}
	}
	spec.AvailableSnapshots = w.labels(r.Group())
	return shard.NewResult(spec)
}

func (w *world) markRan(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[id[:strings.LastIndex(id, "~")]] = true
}

// answer returns the documents of l, sometimes with a label that is consistent
// but not the one asked for.
func (w *world) answer(spec shard.ResultSpec, r shard.Request, l shard.Label) shard.Result {
	w.markRan(r.ID())
	i := int(r.Shard()[1] - '0')
	switch w.random(40) {
	case 0:
		l = label(i, l.Snapshot()+1, l.Map())
	case 1:
		l = label(i, l.Snapshot(), "m9")
	case 2:
		// Another range is detected only against an announced one.
		if announced(w.e.table.of(r.Group()), l) {
			l = label((i+1)%worldShards, l.Snapshot(), l.Map())
		}
	case 3:
		spec.Shard = "s9"
	}
	spec.Kind, spec.Ran, spec.Label = refusal.None, refusal.DidRun, l
	if held := w.labels(r.Group()); held[0] != l {
		spec.AvailableSnapshots = held
	}
	spec.Hits = documents(l.Snapshot(), l.Low(), l.High())
	return shard.NewResult(spec)
}

func announced(labels []shard.Label, l shard.Label) bool {
	for _, k := range labels {
		if k == l {
			return true
		}
	}
	return false
}
