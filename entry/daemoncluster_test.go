package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/once"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// daemonCluster simulates three daemons and one searcher, and counts the runs of each
// request.
type daemonCluster struct {
	t      *testing.T
	clk    fakeClock
	estate catalogue.Estate

	mu      sync.Mutex
	rng     *rand.Rand
	nodes   [3]*node
	started int
	runs    map[string]int
}

// node is one daemon incarnation.
type node struct {
	cluster     *daemonCluster
	home        Home
	e           *Entry
	responder   *once.Responder
	guard       *once.Guard
	dead        bool
	pausedUntil time.Duration // Boot time until which the process is paused.
}

func newDaemonCluster(t *testing.T, seed uint64) *daemonCluster {
	f := &daemonCluster{
		t: t, clk: fakeClock{start: time.Now()}, rng: rand.New(rand.NewPCG(seed, 2)), runs: make(map[string]int),
		estate: catalogue.NewEstate(catalogue.EstateSpec{Generation: 1, Services: []*catalogue.Service{
			catalogue.NewService(catalogue.ServiceSpec{
				EntrySpec: catalogue.EntrySpec{Name: "log"}, GroupSize: 4, NonIdempotent: true,
				Shards: []*catalogue.Shard{catalogue.NewShard(catalogue.ShardSpec{
					EntrySpec: catalogue.EntrySpec{Name: "all"},
					Searchers: []*catalogue.Searcher{catalogue.NewSearcher(catalogue.SearcherSpec{})},
				})},
			}),
		}}),
	}
	for i := range f.nodes {
		f.start(i)
	}
	return f
}

// start kills the daemon with index i, if any, and starts a new incarnation.
func (f *daemonCluster) start(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes[i] != nil {
		f.nodes[i].dead = true
	}
	f.started++
	n := &node{cluster: f, home: NewHome(HomeSpec{Name: fmt.Sprint("d", i), Incarnation: fmt.Sprint("i", f.started)})}
	// The tables are small and the window is short, so that the run reaches both
	// limits.
	opts := []once.Option{once.WithClock(f.clk), once.WithRecords(400), once.WithWindow(4 * time.Second)}
	own, relayed := once.NewTable(opts...), once.NewTable(opts...)
	n.guard = once.NewGuard(relayed, n.search)
	n.e = New(Fleet{
		Estate:             func() (catalogue.Estate, bool) { return f.estate, true },
		PreferenceList:     n.preferenceList,
		Local:              n.search,
		AvailableSnapshots: func(string) []shard.Label { return nil },
		Relay:              n.relay,
		Outcome:            n.outcome,
		Member:             f.member,
	}, WithClock(f.clk), WithOnce(own, n.home.Incarnation()))
	n.responder = once.NewResponder(n.home.Incarnation(), n.e.Now, own, relayed)
	f.nodes[i] = n
}

func (f *daemonCluster) random(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// preferenceList returns all daemons as n sees them. Daemon 0 is the home.
func (n *node) preferenceList(string) []Home {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var list []Home
	for _, d := range n.cluster.nodes {
		list = append(list, NewHome(HomeSpec{Name: d.home.Name(), Incarnation: d.home.Incarnation(), Self: d == n}))
	}
	return list
}

func (f *daemonCluster) member(incarnation string) (Home, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.nodes {
		if d.home.Incarnation() == incarnation {
			return d.home, true
		}
	}
	return Home{}, false
}

// waitWhilePaused returns when the process is no longer paused. It returns false if
// the process is dead.
func (n *node) waitWhilePaused() bool {
	for {
		n.cluster.mu.Lock()
		remaining := n.pausedUntil - n.cluster.clk.Boot()
		dead := n.dead
		n.cluster.mu.Unlock()
		if dead || remaining <= 0 {
			return !dead
		}
		time.Sleep(remaining)
	}
}

// connect returns the current process of the daemon to. The error is the one that
// a client gets.
func (n *node) connect(ctx context.Context, to Home) (*node, error) {
	if !n.waitWhilePaused() {
		<-ctx.Done() // A dead process makes no calls.
		return nil, ctx.Err()
	}
	n.cluster.mu.Lock()
	var d *node
	for _, s := range n.cluster.nodes {
		if s.home.Name() == to.Name() {
			d = s
		}
	}
	n.cluster.mu.Unlock()
	if n.cluster.random(50) == 0 {
		return nil, refusal.New(refusal.HomeUnreachable, "connection refused").WithRan(refusal.NotRun)
	}
	return d, nil
}

// callPeer runs handle in another process. The reply may be late or lost.
func callPeer[R any](ctx context.Context, n *node, to Home, handle func(d *node) R) (R, error) {
	var zero R
	d, err := n.connect(ctx, to)
	if err != nil {
		return zero, err
	}
	replies, reset := make(chan R, 1), make(chan struct{})
	go func() {
		time.Sleep(time.Duration(n.cluster.random(5)) * time.Millisecond)
		if !d.waitWhilePaused() {
			return
		}
		if n.cluster.random(20) == 0 {
			close(reset) // The other process continues to run the call.
		}
		r := handle(d)
		if d.waitWhilePaused() && n.cluster.random(20) != 0 {
			replies <- r
		}
	}()
	select {
	case r := <-replies:
		return r, nil
	case <-reset:
		return zero, refusal.New(refusal.HomeUnreachable, "connection reset")
	case <-ctx.Done():
		return zero, refusal.New(refusal.HomeUnreachable, "no reply")
	}
}

func (n *node) relay(ctx context.Context, to Home, batch []shard.Request) ([]shard.Result, error) {
	return callPeer(ctx, n, to, func(d *node) []shard.Result {
		ctx, cancel := clock.WithDeadline(context.Background(), n.cluster.clk, batch[0].Deadline())
		defer cancel()
		return []shard.Result{d.guard.Do(ctx, batch[0])}
	})
}

func (n *node) outcome(ctx context.Context, to Home, in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return callPeer(ctx, n, to, func(d *node) *peerpb.OutcomeReply {
		reply, err := d.responder.Outcome(in)
		if err != nil {
			n.cluster.t.Error(err)
		}
		return reply
	})
}

// search simulates the daemon's home with a searcher that may crash before, during
// or after the run.
func (n *node) search(_ context.Context, r shard.Request) shard.Result {
	spec := shard.ResultSpec{Shard: r.Shard(), Group: r.Group(), Ran: refusal.NotRun}
	fail := func(kind refusal.Kind, ran refusal.Ran) shard.Result {
		spec.Kind, spec.Ran = kind, ran
		return shard.NewResult(spec)
	}
	fault := n.cluster.random(30)
	switch fault {
	case 0:
		return fail(refusal.NotHome, refusal.NotRun)
	case 1:
		return fail(refusal.Overloaded, refusal.NotRun)
	case 2:
		return fail(refusal.SearcherFailed, refusal.Unknown) // Crashed before the run.
	}
	time.Sleep(time.Duration(n.cluster.random(30)) * time.Millisecond)
	// The home checks its lease and the deadline immediately before the send.
	if !n.waitWhilePaused() || n.cluster.clk.Boot() >= r.Deadline() {
		return fail(refusal.Deadline, refusal.NotRun)
	}
	n.cluster.mu.Lock()
	n.cluster.runs[r.ID()]++
	n.cluster.mu.Unlock()
	time.Sleep(time.Duration(n.cluster.random(30)) * time.Millisecond)
	if fault <= 4 || !n.waitWhilePaused() {
		return fail(refusal.SearcherFailed, refusal.Unknown) // Crashed during or after the run.
	}
	spec.Ran, spec.Body = refusal.DidRun, []byte(`"done"`)
	return shard.NewResult(spec)
}
