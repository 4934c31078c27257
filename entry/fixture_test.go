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

// fixture is three daemons and one searcher that counts the runs of each request.
type fixture struct {
	t      *testing.T
	clk    bubble
	estate catalogue.Estate

	mu    sync.Mutex
	rng   *rand.Rand
	slots [3]*node
	made  int
	runs  map[string]int
}

// node is one daemon incarnation.
type node struct {
	y      *fixture
	home   Home
	e      *Entry
	desk   *once.Responder
	guard  *once.Guard
	dead   bool
	paused time.Duration // Boot time until which the process stands still.
}

func newFixture(t *testing.T, seed uint64) *fixture {
	y := &fixture{
		t: t, clk: bubble{start: time.Now()}, rng: rand.New(rand.NewPCG(seed, 2)), runs: make(map[string]int),
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
	for i := range y.slots {
		y.start(i)
	}
	return y
}

// start replaces the daemon in a slot by a new incarnation.
func (y *fixture) start(i int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.slots[i] != nil {
		y.slots[i].dead = true
	}
	y.made++
	n := &node{y: y, home: NewHome(HomeSpec{Name: fmt.Sprint("d", i), Incarnation: fmt.Sprint("i", y.made)})}
	// Small tables and a short window make both limits part of the run.
	opts := []once.Option{once.WithClock(y.clk), once.WithRecords(400), once.WithWindow(4 * time.Second)}
	own, relayed := once.NewTable(opts...), once.NewTable(opts...)
	n.guard = once.NewGuard(relayed, n.search)
	n.e = New(Fleet{
		Estate:             func() (catalogue.Estate, bool) { return y.estate, true },
		PreferenceList:     n.order,
		Local:              n.search,
		AvailableSnapshots: func(string) []shard.Label { return nil },
		Relay:              n.relay,
		Outcome:            n.outcome,
		Member:             y.member,
	}, WithClock(y.clk), WithOnce(own, n.home.Incarnation()))
	n.desk = once.NewResponder(n.home.Incarnation(), n.e.Now, own, relayed)
	y.slots[i] = n
}

func (y *fixture) random(n int) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.rng.IntN(n)
}

// order lists the daemons as n knows them: slot 0 is home.
func (n *node) order(string) []Home {
	n.y.mu.Lock()
	defer n.y.mu.Unlock()
	var list []Home
	for _, d := range n.y.slots {
		list = append(list, NewHome(HomeSpec{Name: d.home.Name(), Incarnation: d.home.Incarnation(), Self: d == n}))
	}
	return list
}

func (y *fixture) member(incarnation string) (Home, bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, d := range y.slots {
		if d.home.Incarnation() == incarnation {
			return d.home, true
		}
	}
	return Home{}, false
}

// settle lets a paused process stand still. It reports false for a dead one.
func (n *node) settle() bool {
	for {
		n.y.mu.Lock()
		rest := n.paused - n.y.clk.Boot()
		dead := n.dead
		n.y.mu.Unlock()
		if dead || rest <= 0 {
			return !dead
		}
		time.Sleep(rest)
	}
}

// reach finds the process that a call goes to. The error is what a client sees.
func (n *node) reach(ctx context.Context, to Home) (*node, error) {
	if !n.settle() {
		<-ctx.Done() // Nobody reads what a dead process would do.
		return nil, ctx.Err()
	}
	n.y.mu.Lock()
	var d *node
	for _, s := range n.y.slots {
		if s.home.Name() == to.Name() {
			d = s
		}
	}
	n.y.mu.Unlock()
	if n.y.random(50) == 0 {
		return nil, refusal.New(refusal.HomeUnreachable, "connection refused").WithRan(refusal.NotRun)
	}
	return d, nil
}

// carry runs f at another process; its reply may come late or be lost.
func carry[R any](ctx context.Context, n *node, to Home, f func(d *node) R) (R, error) {
	var none R
	d, err := n.reach(ctx, to)
	if err != nil {
		return none, err
	}
	got, reset := make(chan R, 1), make(chan struct{})
	go func() {
		time.Sleep(time.Duration(n.y.random(5)) * time.Millisecond)
		if !d.settle() {
			return
		}
		if n.y.random(20) == 0 {
			close(reset) // The call goes on at the other process.
		}
		r := f(d)
		if d.settle() && n.y.random(20) != 0 {
			got <- r
		}
	}()
	select {
	case r := <-got:
		return r, nil
	case <-reset:
		return none, refusal.New(refusal.HomeUnreachable, "connection reset")
	case <-ctx.Done():
		return none, refusal.New(refusal.HomeUnreachable, "no reply")
	}
}

func (n *node) relay(ctx context.Context, to Home, batch []shard.Request) ([]shard.Result, error) {
	return carry(ctx, n, to, func(d *node) []shard.Result {
		ctx, cancel := clock.WithDeadline(context.Background(), n.y.clk, batch[0].Deadline())
		defer cancel()
		return []shard.Result{d.guard.Do(ctx, batch[0])}
	})
}

func (n *node) outcome(ctx context.Context, to Home, in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return carry(ctx, n, to, func(d *node) *peerpb.OutcomeReply {
		reply, err := d.desk.Outcome(in)
		if err != nil {
			n.y.t.Error(err)
		}
		return reply
	})
}

// search is the daemon's home with a searcher that dies before, during or
// after the run.
func (n *node) search(_ context.Context, r shard.Request) shard.Result {
	spec := shard.ResultSpec{Shard: r.Shard(), Group: r.Group(), Ran: refusal.NotRun}
	fail := func(kind refusal.Kind, ran refusal.Ran) shard.Result {
		spec.Kind, spec.Ran = kind, ran
		return shard.NewResult(spec)
	}
	fate := n.y.random(30)
	switch fate {
	case 0:
		return fail(refusal.NotHome, refusal.NotRun)
	case 1:
		return fail(refusal.Overloaded, refusal.NotRun)
	case 2:
		return fail(refusal.SearcherFailed, refusal.Unknown) // Died before the run.
	}
	time.Sleep(time.Duration(n.y.random(30)) * time.Millisecond)
	// The home checks its lease and the deadline immediately before the send.
	if !n.settle() || n.y.clk.Boot() >= r.Deadline() {
		return fail(refusal.Deadline, refusal.NotRun)
	}
	n.y.mu.Lock()
	n.y.runs[r.ID()]++
	n.y.mu.Unlock()
	time.Sleep(time.Duration(n.y.random(30)) * time.Millisecond)
	if fate <= 4 || !n.settle() {
		return fail(refusal.SearcherFailed, refusal.Unknown) // Died during or after the run.
	}
	spec.Ran, spec.Body = refusal.DidRun, []byte(`"done"`)
	return shard.NewResult(spec)
}
