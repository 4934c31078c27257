package cell

import (
	"context"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// The tests of this file guard rules whose violation needs several rare events
// at once, which the random run seldom meets.

// leased returns members[1] at a settled epoch with a lease, and its clock.
func leased(members []Member) (*Cell, *clocktest.Manual) {
	clk := clocktest.New()
	c := New(members[1], WithClock(clk), WithName("c"), withSpawn(func(func()) {}))
	c.config.inputs = []*inputs{{groups: []groupInput{{id: "g"}}, inService: map[string]bool{"domain-1": true}, digest: 5}}
	c.adoptLocked(clk.Boot(), nextOf(members, 1, 1))
	c.view.settled = true
	c.view.lease = clk.Boot() + leaseTime
	return c, clk
}

func nextOf(members []Member, term, epoch uint64) *membership {
	return &membership{
		cell: "c", term: term, epoch: epoch, baseEpoch: epoch - 1, digest: 5,
		keeper: members[0], members: members, previous: members, base: members[:1],
	}
}

// Guards against a daemon that wakes from a pause and sends with the shares of
// before on the lease that it gets for a later epoch.
func TestLeaseWaitsForShares(t *testing.T) {
	c, clk := leased(benchMembers(4))
	c.ConfirmShares(c.ShareKey())
	if c.LeaseEnd() <= clk.Boot() {
		t.Error("no lease with applied shares")
	}
	clk.Advance(time.Minute)
	c.adoptLocked(clk.Boot(), nextOf(c.view.m.members, 1, 2))
	c.view.lease = clk.Boot() + leaseTime
	if c.LeaseEnd() > clk.Boot() {
		t.Error("lease holds before the new shares are applied")
	}
	c.ConfirmShares(c.ShareKey())
	if c.LeaseEnd() <= clk.Boot() {
		t.Error("no lease after the new shares are applied")
	}
}

// Guards against a home that stays shut: it was told to stop and its group came
// back before the daemon applied shares without the group.
func TestGroupThatComesBack(t *testing.T) {
	c, clk := leased(benchMembers(4))
	var stop []func()
	c.cfg.spawn = func(f func()) { stop = append(stop, f) }
	g := catalogue.NewGroup(catalogue.GroupSpec{ID: "g"})
	c.ConfirmShares(c.ShareKey())
	adopt := func(epoch uint64, members []Member) {
		c.mu.Lock()
		c.adoptLocked(clk.Boot(), nextOf(members, 1, epoch))
		c.view.settled = true
		c.unlock()
	}
	members := c.view.m.members
	adopt(2, []Member{members[0], members[1].withLeaving(true)})
	adopt(3, members)
	c.ConfirmShares(c.ShareKey())
	if c.Share(g) != lease.None {
		t.Error("group is given back before its home has stopped")
	}
	for _, f := range stop {
		f()
	}
	if c.Share(g) != lease.None {
		t.Error("group is given back before shares without it are applied")
	}
	c.ConfirmShares(c.ShareKey())
	if c.Share(g) != lease.Full {
		t.Errorf("share %v after that", c.Share(g))
	}
}

// Guards against a full share that is carried into a later epoch after its
// lease has ended, when another home may have had the group between.
func TestFullShareEndsWithLease(t *testing.T) {
	c, clk := leased(benchMembers(4))
	if !c.view.full("g") {
		t.Fatal("no full share at a settled epoch")
	}
	c.adoptLocked(clk.Boot(), nextOf(c.view.m.members, 1, 2))
	if !c.view.full("g") {
		t.Error("full share lost while the lease holds")
	}
	clk.Advance(leaseTime)
	c.adoptLocked(clk.Boot(), nextOf(c.view.m.members, 1, 3))
	if c.view.full("g") {
		t.Error("full share kept after the lease ended")
	}
}

// Guards against a lease from a majority of an epoch's members while the base
// of that epoch, which may settle the next one, is not asked.
func TestMajorityOfBase(t *testing.T) {
	c, clk := leased(benchMembers(4))
	r := &round{sent: clk.Boot(), self: c.self.Incarnation(), m: c.view.m, same: make(map[string]bool)}
	for _, m := range c.view.m.members[1:] {
		r.same[m.Incarnation()] = true
	}
	c.countLocked(clk.Boot(), r)
	if c.view.still != 0 {
		t.Error("lease without the base")
	}
	c.view.recorded = true
	c.countLocked(clk.Boot(), r)
	if c.view.still != r.sent+standstillTime {
		t.Error("no lease although the epoch is recorded as settled")
	}
}

// Guards against a keeper that settles an epoch while another may have taken
// over, and against a successor that does not wait for the leases of the one
// that yielded.
func TestYieldingKeeper(t *testing.T) {
	members := benchMembers(4)
	c := benchKeeper(members)
	k, now := c.keeper, c.cfg.clk.Boot()
	k.settled, k.cur = false, nextOf(members, 1, 3)
	for _, m := range members {
		k.heard[m.Incarnation()] = &hearing{at: now, epoch: 3}
	}
	k.yields = true
	if k.settle(now, func(Member) bool { return false }) {
		t.Error("settled while yielding")
	}
	k.yields = false
	if !k.settle(now, func(Member) bool { return false }) {
		t.Error("not settled by acknowledgement of all")
	}

	f := newFleet(t, 1, 1)
	f.want(5*time.Second, "start", f.whole)
	n := f.nodes[0]
	f.start(n, 0, func() {
		next := n.cell.successorLocked(nil, nil)
		version := n.cell.keeper.version
		n.cell.keeper = nil
		n.cell.takeOver(next, version, true)
		k := n.cell.keeper
		if k == nil || k.since < n.cell.cfg.clk.Boot()+storeLease-margin {
			t.Error("successor does not wait for the leases of a keeper that yielded")
		}
	})
	f.run(time.Second, f.check)
}

// Guards against a grant after the write that gives up the keeper's lease.
func TestLeavingKeeperGrantsNothing(t *testing.T) {
	members := benchMembers(2)
	c := benchKeeper(members)
	in := &peerpb.HeartbeatRequest{Member: members[1].wire(), Epoch: 2, KnownEpoch: 2}
	if r, _ := c.HandleHeartbeat(context.Background(), in); !r.Accepted {
		t.Fatal("not granted before")
	}
	c.leaving = true
	c.beat.next = 0
	me := c.self.withLeaving(true)
	c.keeper.cur = nextOf([]Member{me, members[1]}, 1, 3)
	c.adoptLocked(c.cfg.clk.Boot(), c.keeper.cur)
	c.view.settled = true
	c.view.lease = c.cfg.clk.Boot() + leaseTime
	c.left()
	if r, _ := c.HandleHeartbeat(context.Background(), in); r.Accepted {
		t.Error("granted after giving up the lease")
	}
}
