package cell

import (
	"context"
	"fmt"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/store"
)

// fleet is the members of a cell in one process, with a network and a store
// that cut, delay and lose.
type fleet struct {
	*sched
	t        *testing.T
	st       *fakeStore
	nodes    []*node // By position; a restart replaces the node.
	cut      map[[2]int]bool
	loss     float64 // Of messages; the same share is delayed beyond the timeout.
	listed   map[string]bool
	ids      []string // Of the groups.
	restarts int
	calls    int
}

type node struct {
	f           *fleet
	pos         int
	cell        *Cell
	pausedUntil time.Duration
	dead        bool
	storeCut    bool
	drain       time.Duration          // Of the homes that it gives up.
	draining    map[string]bool        // Groups had in full whose requests are still in flight.
	sends       time.Duration          // Latest deadline of a request sent so far.
	applied     map[string]lease.Share // What the homes know of the shares.
	applying    bool
}

const domains = 3

func newFleet(t *testing.T, seed uint64, size int) *fleet {
	f := &fleet{sched: newSched(seed), t: t, cut: make(map[[2]int]bool), listed: make(map[string]bool)}
	for g := range 12 {
		f.ids = append(f.ids, fmt.Sprintf("s/%d/0", g))
	}
	f.st = &fakeStore{f: f, objects: make(map[string]store.Object)}
	f.st.apply(catalogueText(1, "", 0))
	for i := range size {
		f.nodes = append(f.nodes, nil)
		f.boot(i)
	}
	return f
}

func (f *fleet) boot(pos int) *node {
	f.restarts++
	name := fmt.Sprintf("vm%d", pos)
	n := &node{f: f, pos: pos, drain: f.between(0, 300*time.Millisecond), draining: make(map[string]bool), applied: make(map[string]lease.Share)}
	var seeds []string
	for i := range f.nodes {
		seeds = append(seeds, fmt.Sprintf("vm%d:1", i))
	}
	tokens := 0
	id := fmt.Sprintf("i%d", f.restarts)
	n.cell = New(NewMember(MemberSpec{
		Name: name, Incarnation: id, Domain: fmt.Sprintf("d%d", pos%domains), PeerAddress: name + ":1",
	}), WithClock(vmClock{f.clk, f.between(0, 10*time.Hour), 0.98 + 0.04*f.rng.Float64()}),
		WithStore(nodeStore{f.st, n}), WithName("c"), WithSeeds(seeds), WithParse(parseText),
		WithVMs(func(name string) (bool, bool) { return f.listed[name], true }),
		WithCalls(Calls{Heartbeat: via(n, (*Cell).HandleHeartbeat), Sync: via(n, (*Cell).HandleSync), Release: via(n, (*Cell).HandleRelease)}),
		WithRelease(n.release),
		withSpawn(func(g func()) { f.start(n, 0, g) }),
		withToken(func() string { tokens++; return fmt.Sprintf("%s-%d", id, tokens) }))
	f.nodes[pos] = n
	n.cell.OnChange(n.changed)
	f.listed[name] = true
	f.start(n, f.between(0, tickInterval), func() {
		for !n.dead {
			n.cell.tick()
			f.sleep(n, tickInterval)
		}
	})
	return n
}

// changed applies the shares to the homes a little later, as a daemon does.
func (n *node) changed() {
	if n.applying {
		return
	}
	n.applying = true
	n.f.start(n, n.f.between(0, 100*time.Millisecond), func() {
		n.applying = false
		key := n.cell.ShareKey()
		for _, id := range n.f.ids {
			n.applied[id] = n.share(id, n.cell.cfg.clk.Boot())
		}
		n.cell.ConfirmShares(key)
	})
}

func (n *node) release(_ context.Context, groups []string) []*peerpb.ReleasedGroup {
	for _, g := range groups {
		n.applied[g] = lease.None
		if n.cell.view.kept[g] {
			n.draining[g] = true
		}
	}
	n.f.sleep(n, n.drain)
	for _, g := range groups {
		delete(n.draining, g)
	}
	return nil
}

func (f *fleet) kill(pos int) { f.nodes[pos].dead = true }

// via makes a peer call over the fake network.
func via[Q, R any](from *node, handle func(*Cell, context.Context, Q) (R, error)) func(context.Context, string, Q) (R, error) {
	return func(_ context.Context, address string, in Q) (R, error) {
		var none R
		f := from.f
		f.calls++
		fail := refusal.New(refusal.HomeUnreachable, "no reply")
		var pos int
		if _, err := fmt.Sscanf(address, "vm%d:1", &pos); err != nil || from.dead {
			return none, fail
		}
		lost := f.rng.Float64()
		if lost < 2*f.loss {
			if lost < f.loss {
				// Delivered after the caller stopped waiting.
				f.start(nil, f.between(peerTime, 6*time.Second), func() { deliver(from, pos, handle, in) })
			}
			f.sleep(from, peerTime)
			return none, fail
		}
		f.sleep(nil, f.between(time.Millisecond, 40*time.Millisecond))
		out, ok := deliver(from, pos, handle, in)
		f.sleep(from, f.between(time.Millisecond, 40*time.Millisecond))
		if !ok || f.cut[pair(from.pos, pos)] || f.rng.Float64() < f.loss || from.dead {
			f.sleep(from, peerTime)
			return none, fail
		}
		return out, nil
	}
}

func deliver[Q, R any](from *node, pos int, handle func(*Cell, context.Context, Q) (R, error), in Q) (R, bool) {
	f := from.f
	to := f.nodes[pos]
	var none R
	if f.cut[pair(from.pos, pos)] || to.dead {
		return none, false
	}
	f.sleep(to, 0)
	if to.dead {
		return none, false
	}
	out, err := handle(to.cell, context.Background(), in)
	return out, err == nil
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// check fails the run when two members could send to one group beyond its cap.
// Paused and cut members count, dead ones do not.
func (f *fleet) check() {
	full, reserved := make([]int, len(f.ids)), make([]int, len(f.ids))
	for _, n := range f.nodes {
		v, now := &n.cell.view, n.cell.cfg.clk.Boot()
		n.sends = max(n.sends, v.live())
		if n.dead || now >= max(n.sends, n.cell.LeaseEnd()) {
			continue
		}
		for g, id := range f.ids {
			switch share := n.may(id, now); {
			case share == lease.Full || n.draining[id] && now < n.sends:
				full[g]++
			case share == lease.Reserved:
				reserved[g]++
			}
		}
	}
	for g, id := range f.ids {
		part := float64(full[g])*(1-lease.ReservedFraction) + float64(reserved[g])*lease.ReservedFraction
		if full[g] > 1 || part > 1 {
			f.dump(id)
		}
		invariant.Check("cell.full_home", full[g] <= 1, "group %s has %d full homes at %v", id, full[g], f.clk.Boot())
		invariant.Check("cell.cap", part <= 1, "group %s has %d full homes and %d reserved ones at %v", id, full[g], reserved[g], f.clk.Boot())
	}
}

// dump logs what each member thinks of a group.
func (f *fleet) dump(id string) {
	for _, n := range f.nodes {
		v := &n.cell.view
		if v.m == nil {
			continue
		}
		f.t.Logf("vm%d dead=%v share=%v may=%v term=%d epoch=%d base=%d settled=%v kept=%v granted=%v keeper=%v", n.pos, n.dead,
			n.share(id, n.cell.cfg.clk.Boot()), n.may(id, n.cell.cfg.clk.Boot()), v.m.term, v.m.epoch, v.m.baseEpoch, v.settled, v.kept[id], v.granted[id], n.cell.keeper != nil)
		f.t.Logf("  lease %v still %v sends %v draining %v released %d", v.lease-n.cell.cfg.clk.Boot(), v.still-n.cell.cfg.clk.Boot(), n.sends-n.cell.cfg.clk.Boot(), n.draining[id], v.released)
	}
}

// may returns the share with which the homes of n would send now.
func (n *node) may(id string, now time.Duration) lease.Share {
	if now >= n.cell.LeaseEnd() {
		return lease.None
	}
	return n.applied[id]
}

// share reads the view as Cell.Share does for a group of the ownership table.
func (n *node) share(id string, now time.Duration) lease.Share {
	v := &n.cell.view
	if v.table == nil {
		return lease.None
	}
	return v.share(now, n.cell.self.Name(), id, v.table.orders[id])
}

// has returns the share of a live node, None of a dead one.
func (n *node) has(id string) lease.Share {
	if n.dead {
		return lease.None
	}
	return n.share(id, n.cell.cfg.clk.Boot())
}

// whole returns an error unless all live members have the configuration and every
// group has a full home.
func (f *fleet) whole() error {
	for _, id := range f.ids {
		full := 0
		for _, n := range f.nodes {
			if n.has(id) == lease.Full {
				full++
			}
		}
		if full != 1 {
			return fmt.Errorf("group %s has %d full homes", id, full)
		}
	}
	for _, n := range f.nodes {
		if !n.dead && n.cell.Generation() != f.st.generation {
			return fmt.Errorf("vm%d has generation %d of %d", n.pos, n.cell.Generation(), f.st.generation)
		}
		if n.dead || f.clk.Boot() < n.pausedUntil {
			continue
		}
		if _, ok := findMember(n.cell.Members(), n.cell.self.Incarnation()); !ok {
			return fmt.Errorf("vm%d is not a member", n.pos)
		}
	}
	return nil
}

// catalogueText and parseText stand in for the catalogue: the failure domain
// that is out of service, and a shift that changes the domains of searchers.
func catalogueText(generation uint64, out string, shift int) Document {
	return Document{
		Generation: generation, Token: fmt.Sprint("t", generation), Author: "test",
		Text: fmt.Sprintf("%d %s.", shift, out), Time: time.Unix(0, 0).UTC(),
	}
}

func parseText(_, text string, generation uint64) (catalogue.Estate, error) {
	var shift int
	var out string
	if _, err := fmt.Sscanf(text, "%d %s", &shift, &out); err != nil {
		return catalogue.Estate{}, err
	}
	var ds []*catalogue.Domain
	for d := range domains {
		name := fmt.Sprintf("d%d", d)
		ds = append(ds, catalogue.NewDomain(catalogue.DomainSpec{EntrySpec: catalogue.EntrySpec{Name: name}, InService: out != name+"."}))
	}
	var shards []*catalogue.Shard
	for i := range 12 {
		s := catalogue.NewSearcher(catalogue.SearcherSpec{Domain: fmt.Sprintf("d%d", (i+shift)%domains)})
		shards = append(shards, catalogue.NewShard(catalogue.ShardSpec{EntrySpec: catalogue.EntrySpec{Name: fmt.Sprint(i)}, Searchers: []*catalogue.Searcher{s}}))
	}
	service := catalogue.NewService(catalogue.ServiceSpec{EntrySpec: catalogue.EntrySpec{Name: "s"}, Shards: shards, GroupSize: 4})
	return catalogue.NewEstate(catalogue.EstateSpec{Generation: generation, Domains: ds, Services: []*catalogue.Service{service}}), nil
}
