package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"medlaryard.example/medlaryard/lease"
)

// newRunningFleet returns a fleet of size members that has converged.
func newRunningFleet(t *testing.T, size int) *fleet {
	f := newFleet(t, 7, size)
	f.waitUntil(15*time.Second, "start", f.checkConverged)
	return f
}

// waitUntil runs until cond returns nil and fails after limit. It returns the time
// taken.
func (f *fleet) waitUntil(limit time.Duration, what string, cond func() error) time.Duration {
	f.t.Helper()
	start := f.clk.Boot()
	for err := cond(); err != nil; err = cond() {
		if f.clk.Boot()-start >= limit {
			f.t.Fatalf("%s: %v after %v", what, err, limit)
		}
		f.run(10*time.Millisecond, f.checkShares)
	}
	took := f.clk.Boot() - start
	f.t.Logf("%s took %v", what, took)
	return took
}

// requireDuring runs for d and fails if cond returns an error.
func (f *fleet) requireDuring(d time.Duration, what string, cond func() error) {
	f.t.Helper()
	start := f.clk.Boot()
	for f.clk.Boot()-start < d {
		f.run(50*time.Millisecond, f.checkShares)
		if err := cond(); err != nil {
			f.t.Fatalf("%s: %v after %v", what, err, f.clk.Boot()-start)
		}
	}
}

func (f *fleet) leader() *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return !n.dead && n.cell.leader != nil })
	if i < 0 {
		f.t.Fatal("no leader")
	}
	return f.nodes[i]
}

// nextNode returns the node after n, cyclically by index.
func (f *fleet) nextNode(n *node) *node { return f.nodes[(n.index+1)%len(f.nodes)] }

// checkHomes returns an error unless each group has a home with at least minShare
// among the live members.
func (f *fleet) checkHomes(minShare lease.Share, groups []string) error {
	for _, id := range groups {
		has := slices.ContainsFunc(f.nodes, func(n *node) bool { return n.liveShare(id) >= minShare })
		if !has {
			return fmt.Errorf("group %s has no home with at least share %v", id, minShare)
		}
	}
	return nil
}

// Guards against groups without a home for more than 1 s beyond the lease after their
// home was killed.
func TestHomeKilled(t *testing.T) {
	f := newRunningFleet(t, 7)
	n := f.nextNode(f.leader())
	f.kill(n.index)
	f.waitUntil(4*time.Second, "reserved share", func() error { return f.checkHomes(lease.Reserved, f.groupIDs) })
	f.waitUntil(6*time.Second, "full share", f.checkConverged)
}

// Guards against homes on other daemons stopping when the leader is killed.
func TestLeaderKilled(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 7)
	leader := f.leader()
	kept := slices.DeleteFunc(slices.Clone(f.groupIDs), func(id string) bool { return leader.liveShare(id) == lease.Full })
	f.kill(leader.index)
	f.requireDuring(20*time.Second, "homes on other members", func() error { return f.checkHomes(lease.Full, kept) })
	f.waitUntil(5*time.Second, "all homes", f.checkConverged)
	if f.leader().cell.view.membership.term < 2 {
		t.Errorf("term %d after the leader was killed; want at least 2", f.leader().cell.view.membership.term)
	}
}

// Guards against queries stopping while the store is down, and against daemons that
// start during the outage and become homes or get no configuration.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 7)
	f.st.down = true
	f.requireDuring(time.Minute, "homes in the outage", f.checkConverged)
	n := f.nodes[2]
	if s := n.cell.Status(); !s.Standstill || s.StoreReachable || s.Isolated {
		t.Errorf("status in the outage: %+v", s)
	}
	f.kill(2)
	n = f.startNode(2)
	f.waitUntil(10*time.Second, "configuration from peers", func() error {
		if n.cell.Generation() != 1 || len(n.cell.Members()) != 7 {
			return fmt.Errorf("generation %d, %d members; want 1 and 7", n.cell.Generation(), len(n.cell.Members()))
		}
		return nil
	})
	f.requireDuring(10*time.Second, "no home on the new daemon", func() error {
		for _, id := range f.groupIDs {
			if n.liveShare(id) != lease.None {
				return fmt.Errorf("share %v of group %s", n.liveShare(id), id)
			}
		}
		return nil
	})
	f.st.down = false
	f.waitUntil(15*time.Second, "recovery", f.checkConverged)
}

// Guards against a configuration that is not in force everywhere within 4 s, even when
// most watchers cannot reach the store.
func TestConfigurationSpread(t *testing.T) {
	f := newRunningFleet(t, 9)
	for _, n := range f.nodes[:6] {
		n.storeCut = n != f.leader()
	}
	f.run(3*time.Second, f.checkShares)
	for g := uint64(2); g < 12; g++ {
		f.st.applyConfiguration(catalogueText(g, "", int(g)))
		f.waitUntil(4*time.Second, "spread", func() error {
			for _, n := range f.nodes {
				if n.cell.Generation() != g {
					return fmt.Errorf("vm%d has generation %d", n.index, n.cell.Generation())
				}
			}
			return nil
		})
	}
}

// Guards against new work on a failure domain more than 3 s after it was taken out of
// service.
func TestDomainOutOfService(t *testing.T) {
	f := newRunningFleet(t, 7)
	f.st.applyConfiguration(catalogueText(2, "d1", 0))
	f.waitUntil(3*time.Second, "out of service", func() error {
		for _, n := range f.nodes {
			for _, id := range f.groupIDs {
				if n.index%domains == 1 && n.liveShare(id) != lease.None {
					return fmt.Errorf("vm%d has share %v of group %s", n.index, n.liveShare(id), id)
				}
			}
		}
		return nil
	})
	f.waitUntil(2*time.Second, "homes elsewhere", f.checkConverged)
	f.st.applyConfiguration(catalogueText(3, "", 0))
	f.waitUntil(4*time.Second, "back", f.checkConverged)
}

// Guards against a handoff that leaves groups without a home, and against a leaving
// leader that is replaced only after its lease expires.
func TestLeave(t *testing.T) {
	f := newRunningFleet(t, 7)
	leader := f.leader()
	f.start(leader, 0, func() {
		leader.cell.mu.Lock()
		leader.cell.leaving, leader.cell.heartbeat.next = true, 0
		leader.cell.unlock()
	})
	f.waitUntil(2*time.Second, "handoff", func() error {
		if !leader.cell.tryLeave() {
			return fmt.Errorf("leader vm%d has not left", leader.index)
		}
		return f.checkHomes(lease.Full, f.groupIDs)
	})
	f.kill(leader.index)
	f.waitUntil(3*time.Second, "next leader", func() error {
		if !slices.ContainsFunc(f.nodes, func(n *node) bool { return !n.dead && n.cell.leader != nil }) {
			return fmt.Errorf("no leader")
		}
		return f.checkConverged()
	})
}

// Guards against a daemon that sends after a pause without a valid lease, and against
// an isolated daemon that continues as home.
func TestPausedAndCutOff(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 7)
	n := f.nextNode(f.leader())
	n.pausedUntil = f.clk.Boot() + 8*time.Second
	f.run(8*time.Second-time.Millisecond, f.checkShares)
	if now := n.cell.cfg.clk.Boot(); now < n.cell.LeaseEnd() {
		t.Errorf("lease of the paused member ends at %v, now %v", n.cell.LeaseEnd(), now)
	}
	f.run(3*time.Second, f.checkShares)
	f.waitUntil(7*time.Second, "return of the paused member", f.checkConverged)
	for i := range f.nodes {
		f.cut[nodePair(n.index, i)] = true
	}
	n.storeCut = true
	f.run(8*time.Second, f.checkShares)
	if s := n.cell.Status(); !s.Isolated || s.GenerationInForce != 1 || s.LeaseLeft != 0 {
		t.Errorf("status of the isolated member: %+v", s)
	}
	f.requireDuring(5*time.Second, "homes elsewhere", f.checkConverged)
}

// Guards against counting daemons that left gracefully as voters: the last daemon then
// stays at the reserved share until the VM list no longer contains them.
func TestAllButOneLeave(t *testing.T) {
	f := newRunningFleet(t, 3)
	for range 2 {
		n := f.nextNode(f.leader())
		for n.dead {
			n = f.nextNode(n)
		}
		n.cell.leaving = true
		f.waitUntil(3*time.Second, "handoff", func() error {
			if !n.cell.tryLeave() {
				return fmt.Errorf("vm%d has not left", n.index)
			}
			return nil
		})
		f.kill(n.index)
	}
	// The last daemon settles the epoch with its next heartbeat.
	f.run(heartbeatInterval+tickInterval, f.checkShares)
	f.requireDuring(20*time.Second, "homes of the last member", func() error { return f.checkHomes(lease.Full, f.groupIDs) })
}

// Guards against a leader that is partitioned with a minority but still reaches the
// store: it removes the majority, which then serves nothing.
func TestLeaderInMinority(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 7)
	leader := f.leader()
	o := f.nextNode(leader)
	kept := slices.DeleteFunc(slices.Clone(f.groupIDs), func(id string) bool { return leader.liveShare(id)+o.liveShare(id) >= lease.Full })
	for _, n := range f.nodes {
		if n != leader && n != o {
			f.cut[nodePair(leader.index, n.index)], f.cut[nodePair(o.index, n.index)] = true, true
		}
	}
	f.requireDuring(20*time.Second, "homes of the majority", func() error { return f.checkHomes(lease.Full, kept) })
	f.waitUntil(10*time.Second, "all homes", func() error { return f.checkHomes(lease.Full, f.groupIDs) })
	clear(f.cut)
	f.waitUntil(10*time.Second, "return of the minority", f.checkConverged)
}

// Guards against homes stopping while the store is slow: writes take effect after the
// caller's timeout, and reads work.
func TestSlowStore(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 5)
	f.run(3*time.Second, f.checkShares)
	for _, slow := range []time.Duration{time.Second, 1900 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		f.st.writeDelay = slow
		f.requireDuring(40*time.Second, slow.String(), f.checkConverged)
	}
	f.st.writeDelay = 0
	f.requireDuring(20*time.Second, "recovered", f.checkConverged)
}

// Guards against a leader that continues to grant leases or removes members after a
// pause.
func TestPausedLeader(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
		f := newRunningFleet(t, 5)
		f.run(3*time.Second, f.checkShares)
		leader := f.leader()
		kept := slices.DeleteFunc(slices.Clone(f.groupIDs), func(id string) bool { return leader.liveShare(id) == lease.Full })
		leader.pausedUntil = f.clk.Boot() + pause
		f.requireDuring(pause+3*time.Second, pause.String(), func() error { return f.checkHomes(lease.Full, kept) })
		f.waitUntil(15*time.Second, "recovery", f.checkConverged)
	}
}
