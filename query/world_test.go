package query_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/query"
	"medlaryard.example/medlaryard/route"
	"medlaryard.example/medlaryard/standin/shards"
	"medlaryard.example/medlaryard/targets"
)

// world is an engine over emulated targets. It runs in simulated time, so a test
// of a load has the same result in every run.
type world struct {
	t        *testing.T
	emulator *shards.Emulator
	engine   *query.Engine
	groups   map[string]*targets.Group
	targets  map[string][]*shards.Target
	route    *route.Route
	table    *route.Table
}

// simulated is the clock of simulated time.
type simulated struct{ clock.System }

// Boot returns the simulated time since an arbitrary moment.
func (simulated) Boot() time.Duration { return time.Duration(time.Now().UnixNano()) }

// newWorld starts a service of so many shards with two targets each.
func newWorld(t *testing.T, seed int64, count int, b shards.Behaviour, opts ...route.Option) *world {
	t.Helper()
	w := &world{
		t: t, emulator: shards.New(seed), groups: make(map[string]*targets.Group),
		targets: make(map[string][]*shards.Target),
	}
	var names []string
	var services []*route.Service
	for i := range count {
		name := fmt.Sprintf("shard%d", i)
		names = append(names, name)
		services = append(services, route.NewService(name, 26, 0, 0))
		w.add(name, b)
	}
	opts = append([]route.Option{
		route.Idempotent(), route.MaxTargets(2), route.Timeout(1500 * time.Millisecond),
		route.Objective(100 * time.Millisecond), route.Sharded(names, 50, 0.89),
	}, opts...)
	w.route = route.New("match", "songs.example", "/match/", opts...)
	w.table = route.NewTable(1, []*route.Route{w.route}, services, route.Limits{})
	w.engine = query.NewEngine(query.Stamp(platform.Stamp), query.Clock(simulated{}))
	w.engine.Install(w.table, w.groups)
	time.Sleep(100 * time.Millisecond) // The first connections are made.
	return w
}

func (w *world) add(name string, b shards.Behaviour) {
	g := targets.NewGroup(name, platform.TargetProtocol(), targets.Dial(w.emulator.Dial), targets.PreferDomain("a"), targets.Clock(simulated{}),
		targets.OnCrash(func(fingerprint uint64) { w.engine.Crashed(fingerprint) }))
	g.Resize(targets.NewSizing(3, targets.ColdLimits{}, targets.NewBudgetLimits(0.2, 54, 1), true))
	var entries []targets.Entry
	for i, zone := range []string{"a", "b"} {
		e := w.emulator.Add(fmt.Sprintf("%s-%d", name, i), b)
		w.targets[name] = append(w.targets[name], e)
		entries = append(entries, targets.NewEntry(e.ID(), name, e.Address(), targets.Domain(zone, "r"), targets.Slots(2)))
	}
	g.Update(entries)
	w.groups[name] = g
}

// cool makes the targets of a shard cold for a while.
func (w *world) cool(name string, d time.Duration) {
	var entries []targets.Entry
	for _, tgt := range w.targets[name] {
		entries = append(entries, targets.NewEntry(tgt.ID(), name, tgt.Address(), targets.Domain("a", "r"), targets.Slots(2), targets.WarmLeft(d)))
	}
	w.groups[name].Update(entries)
}

func (w *world) close() {
	for _, g := range w.groups {
		g.Close()
	}
	w.emulator.Close()
	time.Sleep(time.Minute) // Timers and emulated targets end.
}

// reply is what a caller got.
type reply struct {
	at     time.Duration // Since the start of the load.
	took   time.Duration
	answer query.Answer
	parts  int
}

// ask sends one request and waits for its answer.
func (w *world) ask(ctx context.Context, id string) reply {
	started := time.Now()
	patience := 1500 * time.Millisecond
	send := targets.NewRequest(id, "GET", "/match/"+id, "songs.example", nil, nil, w.route.Idempotent(), simulated{}.Boot()+patience)
	a := w.engine.Do(ctx, w.table, w.route, send, started, patience)
	r := reply{took: time.Since(started), answer: a}
	if m := a.Merged(); m != nil {
		r.parts = len(m.Stamps())
	}
	return r
}

// load sends requests at a steady rate for a while and returns all replies.
func (w *world) load(rate float64, d time.Duration) []reply {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var replies []reply
	began := time.Now()
	for i := 0; time.Since(began) < d; i++ {
		at := time.Since(began)
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := w.ask(context.Background(), fmt.Sprintf("q%d", i))
			r.at = at
			mu.Lock()
			replies = append(replies, r)
			mu.Unlock()
		}()
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wg.Wait()
	return replies
}

// served returns the share of the replies that are a success within limit, and
// the share of their parts that are in.
func served(replies []reply, limit time.Duration) (inTime, coverage float64) {
	n, parts, of := 0, 0, 0
	for _, r := range replies {
		if m := r.answer.Merged(); m != nil && r.took <= limit {
			n++
			parts += r.parts
			of += r.parts + m.Missing()
		}
	}
	return float64(n) / float64(max(len(replies), 1)), float64(parts) / float64(max(of, 1))
}

// arrivals returns how many sends beyond the first each shard got for each
// request, on average.
func (w *world) extra(requests int) float64 {
	total := 0
	for _, ts := range w.targets {
		for _, t := range ts {
			for _, n := range t.Runs() {
				total += n
			}
			total += t.Refused()
		}
	}
	return float64(total)/float64(requests*len(w.targets)) - 1
}
