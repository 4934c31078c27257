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

// The tests in this file check rules that are violated only when several rare events
// coincide, which TestRandomRun seldom produces.

// newLeasedCell returns the Cell of members[1] in a settled epoch with a lease, and its
// clock.
func newLeasedCell(members []Member) (*Cell, *clocktest.Manual) {
	clk := clocktest.New()
	c := New(members[1], WithClock(clk), WithName("c"), withSpawn(func(func()) {}))
	c.configuration.inputs = []*inputs{{groups: []groupInput{{id: "g"}}, inService: map[string]bool{"domain-1": true}, digest: 5}}
	c.adoptLocked(clk.Boot(), testMembership(members, 1, 1))
	c.view.settled = true
	c.view.grantedLease = clk.Boot() + leaseDuration
	return c, clk
}

// testMembership returns an epoch whose predecessor was settled, with leader and base
// members[0].
func testMembership(members []Member, term, epoch uint64) *membership {
	return &membership{
		cell: "c", term: term, epoch: epoch, baseEpoch: epoch - 1, digest: 5,
		leader: members[0], members: members, previous: members, base: members[:1],
	}
}

// Guards against a daemon that uses its old shares after a pause, under the lease that
// it gets for a later epoch.
func TestLeaseEndUnconfirmedShares(t *testing.T) {
	c, clk := newLeasedCell(testMembers(4))
	c.ConfirmShares(c.ShareKey())
	if c.LeaseEnd() <= clk.Boot() {
		t.Error("no lease with applied shares")
	}
	clk.Advance(time.Minute)
	c.adoptLocked(clk.Boot(), testMembership(c.view.membership.members, 1, 2))
	c.view.grantedLease = clk.Boot() + leaseDuration
	if c.LeaseEnd() > clk.Boot() {
		t.Error("lease holds before the new shares are applied")
	}
	c.ConfirmShares(c.ShareKey())
	if c.LeaseEnd() <= clk.Boot() {
		t.Error("no lease after the new shares are applied")
	}
}

// Guards against a home that stays closed: it is stopping when its group is assigned
// again, before the daemon has applied shares without the group.
func TestReassignedGroupWithheld(t *testing.T) {
	c, clk := newLeasedCell(testMembers(4))
	var stop []func()
	c.cfg.spawn = func(f func()) { stop = append(stop, f) }
	g := catalogue.NewGroup(catalogue.GroupSpec{ID: "g"})
	c.ConfirmShares(c.ShareKey())
	adopt := func(epoch uint64, members []Member) {
		c.mu.Lock()
		c.adoptLocked(clk.Boot(), testMembership(members, 1, epoch))
		c.view.settled = true
		c.unlock()
	}
	members := c.view.membership.members
	adopt(2, []Member{members[0], members[1].withLeaving(true)})
	adopt(3, members)
	c.ConfirmShares(c.ShareKey())
	if c.Share(g) != lease.None {
		t.Error("share returned before the home of the group has stopped")
	}
	for _, f := range stop {
		f()
	}
	if c.Share(g) != lease.None {
		t.Error("share returned before shares without the group are applied")
	}
	c.ConfirmShares(c.ShareKey())
	if c.Share(g) != lease.Full {
		t.Errorf("share %v after shares without the group are applied; want full", c.Share(g))
	}
}

// Guards against a full share that is kept for a later epoch after its lease has
// expired, when another member may have been home in between.
func TestFullShareAfterLeaseExpiry(t *testing.T) {
	c, clk := newLeasedCell(testMembers(4))
	if !c.view.hasFullShare("g") {
		t.Fatal("no full share at a settled epoch")
	}
	c.adoptLocked(clk.Boot(), testMembership(c.view.membership.members, 1, 2))
	if !c.view.hasFullShare("g") {
		t.Error("full share lost while the lease holds")
	}
	clk.Advance(leaseDuration)
	c.adoptLocked(clk.Boot(), testMembership(c.view.membership.members, 1, 3))
	if c.view.hasFullShare("g") {
		t.Error("full share kept after the lease ended")
	}
}

// Guards against a lease from a majority of an epoch's members without a majority of
// the epoch's base, which may settle the next epoch.
func TestMajorityOfBase(t *testing.T) {
	c, clk := newLeasedCell(testMembers(4))
	r := &pollRound{sent: clk.Boot(), selfIncarnation: c.self.Incarnation(), membership: c.view.membership, agreeing: make(map[string]bool)}
	for _, m := range c.view.membership.members[1:] {
		r.agreeing[m.Incarnation()] = true
	}
	c.extendMajorityLeaseLocked(clk.Boot(), r)
	if c.view.majorityLease != 0 {
		t.Error("lease extended without a majority of the base")
	}
	c.view.settledStored = true
	c.extendMajorityLeaseLocked(clk.Boot(), r)
	if c.view.majorityLease != r.sent+standstillLease {
		t.Error("lease not extended although the store records the epoch as settled")
	}
}

// Guards against a leader that settles an epoch while another may have taken over, and
// against a successor that does not wait for the leases of a yielding leader to expire.
func TestYieldingLeader(t *testing.T) {
	members := testMembers(4)
	c := newTestLeader(members)
	l, now := c.leader, c.cfg.clk.Boot()
	l.settled, l.current = false, testMembership(members, 1, 3)
	for _, m := range members {
		l.heartbeats[m.Incarnation()] = &heartbeatRecord{lastGrant: now, releasedEpoch: 3}
	}
	l.yields = true
	if l.trySettle(now, func(Member) bool { return false }) {
		t.Error("epoch settled while the leader yields")
	}
	l.yields = false
	if !l.trySettle(now, func(Member) bool { return false }) {
		t.Error("epoch not settled although all members acknowledged it")
	}

	f := newFleet(t, 1, 1)
	f.waitUntil(5*time.Second, "start", f.checkConverged)
	n := f.nodes[0]
	f.start(n, 0, func() {
		next := n.cell.successorMembershipLocked(nil, nil)
		version := n.cell.leader.version
		n.cell.leader = nil
		n.cell.takeOver(next, version, true)
		l := n.cell.leader
		if l == nil || l.grantsKnownSince < n.cell.cfg.clk.Boot()+storeLeaseDuration-clockMargin {
			t.Error("new leader does not wait for the leases of the yielding one to expire")
		}
	})
	f.run(time.Second, f.checkShares)
}

// Guards against a grant after the write that releases the leader's store lease.
func TestLeavingLeaderHeartbeat(t *testing.T) {
	members := testMembers(2)
	c := newTestLeader(members)
	in := &peerpb.HeartbeatRequest{Member: members[1].wire(), Epoch: 2, KnownEpoch: 2}
	if r, _ := c.HandleHeartbeat(context.Background(), in); !r.Accepted {
		t.Fatal("heartbeat not accepted before leaving")
	}
	c.leaving = true
	c.heartbeat.next = 0
	me := c.self.withLeaving(true)
	c.leader.current = testMembership([]Member{me, members[1]}, 1, 3)
	c.adoptLocked(c.cfg.clk.Boot(), c.leader.current)
	c.view.settled = true
	c.view.grantedLease = c.cfg.clk.Boot() + leaseDuration
	c.tryLeave()
	if r, _ := c.HandleHeartbeat(context.Background(), in); r.Accepted {
		t.Error("heartbeat accepted after releasing the store lease")
	}
}
