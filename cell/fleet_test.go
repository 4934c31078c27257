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

// fleet runs the members of a cell in one process, with a simulated network and store
// that can fail, delay and lose messages.
type fleet struct {
	*scheduler
	t        *testing.T
	st       *fakeStore
	nodes    []*node         // By index; a restart replaces the node.
	cut      map[[2]int]bool // Pairs of nodes that cannot reach each other.
	lossRate float64         // Fraction of messages lost; the same fraction is delayed beyond the timeout.
	listed   map[string]bool // Names in the VM list.
	groupIDs []string        // IDs of all groups.
	restarts int
	calls    int
}

// node is one daemon of the fleet.
type node struct {
	f            *fleet
	index        int
	cell         *Cell
	pausedUntil  time.Duration
	dead         bool
	storeCut     bool
	drainTime    time.Duration          // How long a home that it gives up takes to stop.
	draining     map[string]bool        // Groups given up with full share whose requests are still in flight.
	lastDeadline time.Duration          // Latest deadline of a request that it may have sent.
	applied      map[string]lease.Share // Shares that the homes use.
	applying     bool
}

const domains = 3

func newFleet(t *testing.T, seed uint64, size int) *fleet {
	f := &fleet{scheduler: newScheduler(seed), t: t, cut: make(map[[2]int]bool), listed: make(map[string]bool)}
	for g := range 12 {
		f.groupIDs = append(f.groupIDs, fmt.Sprintf("s/%d/0", g))
	}
	f.st = &fakeStore{f: f, objects: make(map[string]store.Object)}
	f.st.applyConfiguration(catalogueText(1, "", 0))
	for i := range size {
		f.nodes = append(f.nodes, nil)
		f.startNode(i)
	}
	return f
}

// startNode starts a new incarnation of the daemon at index.
func (f *fleet) startNode(index int) *node {
	f.restarts++
	name := fmt.Sprintf("vm%d", index)
	n := &node{f: f, index: index, drainTime: f.randomDuration(0, 300*time.Millisecond), draining: make(map[string]bool), applied: make(map[string]lease.Share)}
	var seeds []string
	for i := range f.nodes {
		seeds = append(seeds, fmt.Sprintf("vm%d:1", i))
	}
	tokens := 0
	id := fmt.Sprintf("i%d", f.restarts)
	n.cell = New(NewMember(MemberSpec{
		Name: name, Incarnation: id, Domain: fmt.Sprintf("d%d", index%domains), PeerAddress: name + ":1",
	}), WithClock(vmClock{f.clk, f.randomDuration(0, 10*time.Hour), 0.98 + 0.04*f.rng.Float64()}),
		WithStore(nodeStore{f.st, n}), WithName("c"), WithSeeds(seeds), WithParse(parseText),
		WithVMs(func(name string) (bool, bool) { return f.listed[name], true }),
		WithCalls(Calls{Heartbeat: peerCall(n, (*Cell).HandleHeartbeat), Sync: peerCall(n, (*Cell).HandleSync), Release: peerCall(n, (*Cell).HandleRelease)}),
		WithReleaseGroups(n.release),
		withSpawn(func(g func()) { f.start(n, 0, g) }),
		withToken(func() string { tokens++; return fmt.Sprintf("%s-%d", id, tokens) }))
	f.nodes[index] = n
	n.cell.OnChange(n.applySharesLater)
	f.listed[name] = true
	f.start(n, f.randomDuration(0, tickInterval), func() {
		for !n.dead {
			n.cell.tick()
			f.sleep(n, tickInterval)
		}
	})
	return n
}

// applySharesLater applies the shares to the homes after a short delay, as a daemon
// does.
func (n *node) applySharesLater() {
	if n.applying {
		return
	}
	n.applying = true
	n.f.start(n, n.f.randomDuration(0, 100*time.Millisecond), func() {
		n.applying = false
		key := n.cell.ShareKey()
		for _, id := range n.f.groupIDs {
			n.applied[id] = n.share(id, n.cell.cfg.clk.Boot())
		}
		n.cell.ConfirmShares(key)
	})
}

// release stops the homes of groups, which takes drainTime.
func (n *node) release(_ context.Context, groups []string) []*peerpb.ReleasedGroup {
	for _, g := range groups {
		n.applied[g] = lease.None
		if n.cell.view.fullBefore[g] {
			n.draining[g] = true
		}
	}
	n.f.sleep(n, n.drainTime)
	for _, g := range groups {
		delete(n.draining, g)
	}
	return nil
}

func (f *fleet) kill(index int) { f.nodes[index].dead = true }

// peerCall returns a peer call over the simulated network.
func peerCall[Q, R any](from *node, handle func(*Cell, context.Context, Q) (R, error)) func(context.Context, string, Q) (R, error) {
	return func(_ context.Context, address string, in Q) (R, error) {
		var none R
		f := from.f
		f.calls++
		fail := refusal.New(refusal.HomeUnreachable, "no reply")
		var index int
		if _, err := fmt.Sscanf(address, "vm%d:1", &index); err != nil || from.dead {
			return none, fail
		}
		lost := f.rng.Float64()
		if lost < 2*f.lossRate {
			if lost < f.lossRate {
				// Delivers the message after the caller's timeout.
				f.start(nil, f.randomDuration(peerTimeout, 6*time.Second), func() { deliver(from, index, handle, in) })
			}
			f.sleep(from, peerTimeout)
			return none, fail
		}
		f.sleep(nil, f.randomDuration(time.Millisecond, 40*time.Millisecond))
		out, ok := deliver(from, index, handle, in)
		f.sleep(from, f.randomDuration(time.Millisecond, 40*time.Millisecond))
		if !ok || f.cut[nodePair(from.index, index)] || f.rng.Float64() < f.lossRate || from.dead {
			f.sleep(from, peerTimeout)
			return none, fail
		}
		return out, nil
	}
}

// deliver calls handle on the node at index; false if the node is dead, unreachable or
// returns an error.
func deliver[Q, R any](from *node, index int, handle func(*Cell, context.Context, Q) (R, error), in Q) (R, bool) {
	f := from.f
	to := f.nodes[index]
	var none R
	if f.cut[nodePair(from.index, index)] || to.dead {
		return none, false
	}
	f.sleep(to, 0)
	if to.dead {
		return none, false
	}
	out, err := handle(to.cell, context.Background(), in)
	return out, err == nil
}

func nodePair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// checkShares fails the run if members could together exceed the cap of a group.
// Paused and unreachable members count, dead ones do not.
func (f *fleet) checkShares() {
	full, reserved := make([]int, len(f.groupIDs)), make([]int, len(f.groupIDs))
	for _, n := range f.nodes {
		v, now := &n.cell.view, n.cell.cfg.clk.Boot()
		n.lastDeadline = max(n.lastDeadline, v.leaseEnd())
		if n.dead || now >= max(n.lastDeadline, n.cell.LeaseEnd()) {
			continue
		}
		for g, id := range f.groupIDs {
			switch share := n.appliedShare(id, now); {
			case share == lease.Full || n.draining[id] && now < n.lastDeadline:
				full[g]++
			case share == lease.Reserved:
				reserved[g]++
			}
		}
	}
	for g, id := range f.groupIDs {
		used := float64(full[g])*(1-lease.ReservedFraction) + float64(reserved[g])*lease.ReservedFraction
		if full[g] > 1 || used > 1 {
			f.logGroup(id)
		}
		invariant.Check("cell.full_home", full[g] <= 1, "group %s has %d full homes at %v", id, full[g], f.clk.Boot())
		invariant.Check("cell.cap", used <= 1, "group %s has %d full homes and %d reserved ones at %v", id, full[g], reserved[g], f.clk.Boot())
	}
}

// logGroup logs the state of a group on each member.
func (f *fleet) logGroup(id string) {
	for _, n := range f.nodes {
		v := &n.cell.view
		if v.membership == nil {
			continue
		}
		f.t.Logf("vm%d dead=%v share=%v applied=%v term=%d epoch=%d base=%d settled=%v fullBefore=%v confirmed=%v leader=%v", n.index, n.dead,
			n.share(id, n.cell.cfg.clk.Boot()), n.appliedShare(id, n.cell.cfg.clk.Boot()), v.membership.term, v.membership.epoch, v.membership.baseEpoch, v.settled, v.fullBefore[id], v.confirmed[id], n.cell.leader != nil)
		f.t.Logf("  grantedLease %v majorityLease %v lastDeadline %v draining %v releasedEpoch %d", v.grantedLease-n.cell.cfg.clk.Boot(), v.majorityLease-n.cell.cfg.clk.Boot(), n.lastDeadline-n.cell.cfg.clk.Boot(), n.draining[id], v.releasedEpoch)
	}
}

// appliedShare returns the share that the homes of n use at now.
func (n *node) appliedShare(id string, now time.Duration) lease.Share {
	if now >= n.cell.LeaseEnd() {
		return lease.None
	}
	return n.applied[id]
}

// share returns what Cell.Share returns for a group in the table, without locking.
func (n *node) share(id string, now time.Duration) lease.Share {
	v := &n.cell.view
	if v.table == nil {
		return lease.None
	}
	return v.share(now, n.cell.self.Name(), id, v.table.preferenceLists[id])
}

// liveShare returns the share of a live node, or None for a dead one.
func (n *node) liveShare(id string) lease.Share {
	if n.dead {
		return lease.None
	}
	return n.share(id, n.cell.cfg.clk.Boot())
}

// checkConverged returns an error unless all live nodes have the current
// configuration, all that are not paused are members, and every group has one full
// home.
func (f *fleet) checkConverged() error {
	for _, id := range f.groupIDs {
		full := 0
		for _, n := range f.nodes {
			if n.liveShare(id) == lease.Full {
				full++
			}
		}
		if full != 1 {
			return fmt.Errorf("group %s has %d full homes", id, full)
		}
	}
	for _, n := range f.nodes {
		if !n.dead && n.cell.Generation() != f.st.generation {
			return fmt.Errorf("vm%d has generation %d of %d", n.index, n.cell.Generation(), f.st.generation)
		}
		if n.dead || f.clk.Boot() < n.pausedUntil {
			continue
		}
		if _, ok := findMember(n.cell.Members(), n.cell.self.Incarnation()); !ok {
			return fmt.Errorf("vm%d is not a member", n.index)
		}
	}
	return nil
}

// catalogueText returns a simplified catalogue for parseText: the failure domain that
// is out of service, and a shift that changes the domains of the searchers.
func catalogueText(generation uint64, out string, shift int) Document {
	return Document{
		Generation: generation, Token: fmt.Sprint("t", generation), Author: "test",
		Text: fmt.Sprintf("%d %s.", shift, out), Time: time.Unix(0, 0).UTC(),
	}
}

// parseText parses the text from catalogueText.
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
