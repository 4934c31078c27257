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

func init() { invariant.PanicOnViolation() }

// fakeClock implements clock.Clock with the fake time of testing/synctest.
type fakeClock struct {
	clock.System
	start time.Time
}

func (c fakeClock) Boot() time.Duration { return time.Hour + time.Since(c.start) }

// AfterFunc implements clock.Clock. It sets no timer for a time that has passed: the race
// detector can crash where a timer is due at once in a synctest bubble.
func (c fakeClock) AfterFunc(d time.Duration, f func()) clock.Timer {
	if d > 0 {
		return c.System.AfterFunc(d, f)
	}
	go f()
	return stoppedTimer{}
}

// stoppedTimer is a timer that has fired.
type stoppedTimer struct{}

func (stoppedTimer) C() <-chan time.Time { return nil }

func (stoppedTimer) Stop() bool { return false }

func (stoppedTimer) Reset(time.Duration) bool { return false }

const (
	testShards = 6
	testKeys   = 600
)

// fakeCluster simulates the homes of one service. Random faults are injected unless
// faultless is set.
type fakeCluster struct {
	t         *testing.T
	clk       fakeClock
	e         *Entry
	estate    catalogue.Estate
	faultless bool

	mu          sync.Mutex
	rng         *rand.Rand
	groupLabels map[string][]shard.Label // By group, newest first.
	ran         map[string]bool          // By query.
}

func newFakeCluster(t *testing.T, seed uint64) *fakeCluster {
	c := &fakeCluster{
		t: t, clk: fakeClock{start: time.Now()}, rng: rand.New(rand.NewPCG(seed, 1)),
		groupLabels: make(map[string][]shard.Label), ran: make(map[string]bool),
	}
	var shards []*catalogue.Shard
	for i := range testShards {
		name := fmt.Sprintf("s%d", i)
		shards = append(shards, catalogue.NewShard(catalogue.ShardSpec{
			EntrySpec: catalogue.EntrySpec{Name: name},
			Searchers: []*catalogue.Searcher{catalogue.NewSearcher(catalogue.SearcherSpec{})},
		}))
	}
	c.estate = catalogue.NewEstate(catalogue.EstateSpec{Generation: 1, Services: []*catalogue.Service{
		catalogue.NewService(catalogue.ServiceSpec{
			EntrySpec: catalogue.EntrySpec{Name: "songs"}, Shards: shards, GroupSize: 4, ExtraBudget: 0.05,
			NonIdempotent: true,
		}),
	}})
	for i := range testShards {
		c.groupLabels[groupID(i)] = []shard.Label{testLabel(i, 1, "m0")}
	}
	homes := []Home{
		NewHome(HomeSpec{Name: "a", Self: true}), NewHome(HomeSpec{Name: "b"}), NewHome(HomeSpec{Name: "c"}),
	}
	c.e = New(Fleet{
		Estate: func() (catalogue.Estate, bool) { return c.estate, true },
		PreferenceList: func(group string) []Home {
			k := int(group[len("songs/s")]-'0') % len(homes)
			return append(append([]Home(nil), homes[k:]...), homes[:k]...)
		},
		Local:              func(ctx context.Context, r shard.Request) shard.Result { return c.serve(ctx, r) },
		AvailableSnapshots: c.labels,
		Relay:              c.relay,
	}, WithClock(c.clk))
	return c
}

func groupID(i int) string { return fmt.Sprintf("songs/s%d/0", i) }

// testLabel returns the correct label of shard i. Maps m0 and m1 have different
// shard boundaries.
func testLabel(i int, snapshot uint64, mapID string) shard.Label {
	shift := uint64(0)
	if mapID == "m1" {
		shift = 30
	}
	boundary := func(k int) uint64 {
		if k == 0 || k == testShards {
			return uint64(k * testKeys / testShards)
		}
		return uint64(k*testKeys/testShards) + shift
	}
	l := shard.LabelSpec{Snapshot: snapshot, Map: mapID, Low: boundary(i), High: boundary(i + 1)}
	l.Documents = uint64(len(documents(snapshot, l.Low, l.High)))
	l.Total = uint64(len(documents(snapshot, 0, testKeys)))
	return shard.NewLabel(l)
}

var (
	documentCacheMu sync.Mutex
	documentCache   = make(map[[3]uint64][]shard.Hit)
)

// documents returns the hits of a key range in a snapshot.
func documents(snapshot, low, high uint64) []shard.Hit {
	documentCacheMu.Lock()
	defer documentCacheMu.Unlock()
	key := [3]uint64{snapshot, low, high}
	if hits, ok := documentCache[key]; ok {
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
	documentCache[key] = hits
	return hits
}

func (c *fakeCluster) labels(group string) []shard.Label {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]shard.Label(nil), c.groupLabels[group]...)
}

func (c *fakeCluster) random(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faultless {
		return n - 1 // Selects no fault.
	}
	return c.rng.IntN(n)
}

// relay serves a batch as a remote home does. It injects faults of the call: lost,
// duplicated and reordered results, and calls that fail.
func (c *fakeCluster) relay(ctx context.Context, _ Home, batch []shard.Request) ([]shard.Result, error) {
	switch c.random(25) {
	case 0:
		return nil, refusal.New(refusal.HomeUnreachable, "refused").WithRan(refusal.NotRun)
	case 1:
		<-ctx.Done()
		return nil, refusal.New(refusal.HomeUnreachable, "silent")
	case 2:
		c.serve(ctx, batch[0])
		return nil, refusal.New(refusal.HomeUnreachable, "connection reset")
	}
	var out []shard.Result
	for _, r := range batch {
		res := c.serve(ctx, r)
		switch c.random(30) {
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

// serve answers one sub-request from the snapshots that the group holds.
func (c *fakeCluster) serve(ctx context.Context, r shard.Request) shard.Result {
	spec := shard.ResultSpec{Kind: refusal.SnapshotGone, Ran: refusal.NotRun, Shard: r.Shard(), Group: r.Group()}
	if r.Snapshot() == labelQuerySnapshot {
		spec.AvailableSnapshots = c.labels(r.Group())
		return shard.NewResult(spec)
	}
	time.Sleep(time.Duration(1+c.random(40)) * time.Millisecond)
	if ctx.Err() != nil {
		spec.Kind = refusal.Deadline
		return shard.NewResult(spec)
	}
	switch c.random(40) {
	case 0:
		spec.Kind = refusal.NotHome
		return shard.NewResult(spec)
	case 1:
		spec.Kind = refusal.Overloaded
		return shard.NewResult(spec)
	case 2:
		c.markRan(r.ID())
		spec.Kind, spec.Ran = refusal.SearcherFailed, refusal.Unknown
		return shard.NewResult(spec)
	}
	for _, l := range c.labels(r.Group()) {
		if l.Snapshot() == r.Snapshot() {
			return c.answer(spec, r, l)
		}
	}
	spec.AvailableSnapshots = c.labels(r.Group())
	return shard.NewResult(spec)
}

func (c *fakeCluster) markRan(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[id[:strings.LastIndex(id, "~")]] = true
}

// answer returns the documents of l. It sometimes replaces l by another valid label
// that the request did not ask for.
func (c *fakeCluster) answer(spec shard.ResultSpec, r shard.Request, l shard.Label) shard.Result {
	c.markRan(r.ID())
	i := int(r.Shard()[1] - '0')
	switch c.random(40) {
	case 0:
		l = testLabel(i, l.Snapshot()+1, l.Map())
	case 1:
		l = testLabel(i, l.Snapshot(), "m9")
	case 2:
		// A wrong key range can be detected only if the right one was announced.
		if containsLabel(c.e.labels.get(r.Group()), l) {
			l = testLabel((i+1)%testShards, l.Snapshot(), l.Map())
		}
	case 3:
		spec.Shard = "s9"
	}
	spec.Kind, spec.Ran, spec.Label = refusal.None, refusal.DidRun, l
	if available := c.labels(r.Group()); available[0] != l {
		spec.AvailableSnapshots = available
	}
	spec.Hits = documents(l.Snapshot(), l.Low(), l.High())
	return shard.NewResult(spec)
}

func containsLabel(labels []shard.Label, l shard.Label) bool {
	for _, label := range labels {
		if label == l {
			return true
		}
	}
	return false
}
