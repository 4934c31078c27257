package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"medlaryard.example/medlaryard/lease"
)

// running returns a fleet of size members in which every group has a full home.
func running(t *testing.T, size int) *fleet {
	f := newFleet(t, 7, size)
	f.want(15*time.Second, "start", f.whole)
	return f
}

// want runs until cond returns nil and fails after limit.
func (f *fleet) want(limit time.Duration, what string, cond func() error) time.Duration {
	f.t.Helper()
	start := f.clk.Boot()
	for err := cond(); err != nil; err = cond() {
		if f.clk.Boot()-start >= limit {
			f.t.Fatalf("%s: %v after %v", what, err, limit)
		}
		f.run(10*time.Millisecond, f.check)
	}
	took := f.clk.Boot() - start
	f.t.Logf("%s took %v", what, took)
	return took
}

// steady runs for d and fails when cond returns an error.
func (f *fleet) steady(d time.Duration, what string, cond func() error) {
	f.t.Helper()
	start := f.clk.Boot()
	for f.clk.Boot()-start < d {
		f.run(50*time.Millisecond, f.check)
		if err := cond(); err != nil {
			f.t.Fatalf("%s: %v after %v", what, err, f.clk.Boot()-start)
		}
	}
}

func (f *fleet) keeper() *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return !n.dead && n.cell.keeper != nil })
	if i < 0 {
		f.t.Fatal("no keeper")
	}
	return f.nodes[i]
}

func (f *fleet) other(than *node) *node { return f.nodes[(than.pos+1)%len(f.nodes)] }

// homes returns an error unless each group has a home with at least that share
// among the live members that ok accepts.
func (f *fleet) homes(least lease.Share, groups []string) error {
	for _, id := range groups {
		has := slices.ContainsFunc(f.nodes, func(n *node) bool { return n.has(id) >= least })
		if !has {
			return fmt.Errorf("group %s has no home with share %v", id, least)
		}
	}
	return nil
}

// Guards against groups without a home for longer than the lease and a second
// after their home was killed.
func TestHomeKilled(t *testing.T) {
	f := running(t, 7)
	n := f.other(f.keeper())
	f.kill(n.pos)
	f.want(4*time.Second, "reserved share", func() error { return f.homes(lease.Reserved, f.ids) })
	f.want(6*time.Second, "full share", f.whole)
}

// Guards against a keeper loss that stops homes on other daemons.
func TestKeeperKilled(t *testing.T) {
	t.Parallel()
	f := running(t, 7)
	k := f.keeper()
	kept := slices.DeleteFunc(slices.Clone(f.ids), func(id string) bool { return k.has(id) == lease.Full })
	f.kill(k.pos)
	f.steady(20*time.Second, "homes of others", func() error { return f.homes(lease.Full, kept) })
	f.want(5*time.Second, "all homes", f.whole)
	if f.keeper().cell.view.m.term < 2 {
		t.Error("the term did not grow")
	}
}

// Guards against queries that stop while the store is down, and against daemons
// that start then becoming homes or staying without configuration.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := running(t, 7)
	f.st.down = true
	f.steady(time.Minute, "homes in the outage", f.whole)
	n := f.nodes[2]
	if s := n.cell.Status(); !s.Standstill || s.StoreReachable || s.Isolated {
		t.Errorf("status in the outage: %+v", s)
	}
	f.kill(2)
	n = f.boot(2)
	f.want(10*time.Second, "configuration from peers", func() error {
		if n.cell.Generation() != 1 || len(n.cell.Members()) != 7 {
			return fmt.Errorf("generation %d, %d members", n.cell.Generation(), len(n.cell.Members()))
		}
		return nil
	})
	f.steady(10*time.Second, "no home on the new daemon", func() error {
		for _, id := range f.ids {
			if n.has(id) != lease.None {
				return fmt.Errorf("share %v of %s", n.has(id), id)
			}
		}
		return nil
	})
	f.st.down = false
	f.want(15*time.Second, "recovery", f.whole)
}

// Guards against a configuration that is not in force everywhere within 4 s,
// also when the store is cut from most watchers.
func TestConfigurationSpread(t *testing.T) {
	f := running(t, 9)
	for _, n := range f.nodes[:6] {
		n.storeCut = n != f.keeper()
	}
	f.run(3*time.Second, f.check)
	for g := uint64(2); g < 12; g++ {
		f.st.apply(catalogueText(g, "", int(g)))
		f.want(4*time.Second, "spread", func() error {
			for _, n := range f.nodes {
				if n.cell.Generation() != g {
					return fmt.Errorf("vm%d has generation %d", n.pos, n.cell.Generation())
				}
			}
			return nil
		})
	}
}

// Guards against new work on a failure domain that is out of service for longer than 3 s.
func TestDomainOutOfService(t *testing.T) {
	f := running(t, 7)
	f.st.apply(catalogueText(2, "d1", 0))
	f.want(3*time.Second, "out of service", func() error {
		for _, n := range f.nodes {
			for _, id := range f.ids {
				if n.pos%domains == 1 && n.has(id) != lease.None {
					return fmt.Errorf("vm%d has share %v", n.pos, n.has(id))
				}
			}
		}
		return nil
	})
	f.want(2*time.Second, "homes elsewhere", f.whole)
	f.st.apply(catalogueText(3, "", 0))
	f.want(4*time.Second, "back", f.whole)
}

// Guards against a hand-over that leaves groups without a home, and against a
// leaving keeper that is missed only when its lease ends.
func TestLeave(t *testing.T) {
	f := running(t, 7)
	k := f.keeper()
	f.start(k, 0, func() {
		k.cell.mu.Lock()
		k.cell.leaving, k.cell.beat.next = true, 0
		k.cell.unlock()
	})
	f.want(2*time.Second, "hand-over", func() error {
		if !k.cell.left() {
			return fmt.Errorf("not left")
		}
		return f.homes(lease.Full, f.ids)
	})
	f.kill(k.pos)
	f.want(3*time.Second, "next keeper", func() error {
		if !slices.ContainsFunc(f.nodes, func(n *node) bool { return !n.dead && n.cell.keeper != nil }) {
			return fmt.Errorf("no keeper")
		}
		return f.whole()
	})
}

// Guards against a paused daemon that sends on waking, and a daemon that is cut
// off from everything but goes on as home.
func TestPausedAndCutOff(t *testing.T) {
	t.Parallel()
	f := running(t, 7)
	n := f.other(f.keeper())
	n.pausedUntil = f.clk.Boot() + 8*time.Second
	f.run(8*time.Second-time.Millisecond, f.check)
	if now := n.cell.cfg.clk.Boot(); now < n.cell.LeaseEnd() {
		t.Errorf("lease of the paused member ends at %v, now %v", n.cell.LeaseEnd(), now)
	}
	f.run(3*time.Second, f.check)
	f.want(7*time.Second, "return of the paused member", f.whole)
	for i := range f.nodes {
		f.cut[pair(n.pos, i)] = true
	}
	n.storeCut = true
	f.run(8*time.Second, f.check)
	if s := n.cell.Status(); !s.Isolated || s.InForce != 1 || s.LeaseLeft != 0 {
		t.Errorf("status of the member that is cut off: %+v", s)
	}
	f.steady(5*time.Second, "homes elsewhere", f.whole)
}

// Guards against daemons that left in good order and are then missed as voters:
// the last daemon stayed at the reserved share until the VM list dropped them.
func TestAllButOneLeave(t *testing.T) {
	f := running(t, 3)
	for range 2 {
		n := f.other(f.keeper())
		for n.dead {
			n = f.other(n)
		}
		n.cell.leaving = true
		f.want(3*time.Second, "hand-over", func() error {
			if !n.cell.left() {
				return fmt.Errorf("not left")
			}
			return nil
		})
		f.kill(n.pos)
	}
	// The last daemon learns with its next heartbeat that the others stopped.
	f.run(beatInterval+tickInterval, f.check)
	f.steady(20*time.Second, "homes of the last", func() error { return f.homes(lease.Full, f.ids) })
}

// Guards against a keeper that is cut off with a minority but still reaches the
// store: it removed the majority, which then served nothing.
func TestKeeperInMinority(t *testing.T) {
	t.Parallel()
	f := running(t, 7)
	k := f.keeper()
	o := f.other(k)
	kept := slices.DeleteFunc(slices.Clone(f.ids), func(id string) bool { return k.has(id)+o.has(id) >= lease.Full })
	for _, n := range f.nodes {
		if n != k && n != o {
			f.cut[pair(k.pos, n.pos)], f.cut[pair(o.pos, n.pos)] = true, true
		}
	}
	f.steady(20*time.Second, "homes of the majority", func() error { return f.homes(lease.Full, kept) })
	f.want(10*time.Second, "all homes", func() error { return f.homes(lease.Full, f.ids) })
	clear(f.cut)
	f.want(10*time.Second, "return of the minority", f.whole)
}

// Guards against homes that stop while the store is slow: writes take effect
// after their caller stopped waiting, and reads work.
func TestSlowStore(t *testing.T) {
	t.Parallel()
	f := running(t, 5)
	f.run(3*time.Second, f.check)
	for _, slow := range []time.Duration{time.Second, 1900 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		f.st.slow = slow
		f.steady(40*time.Second, slow.String(), f.whole)
	}
	f.st.slow = 0
	f.steady(20*time.Second, "recovered", f.whole)
}

// Guards against a keeper that wakes from a pause and goes on granting leases or
// removing members.
func TestPausedKeeper(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
		f := running(t, 5)
		f.run(3*time.Second, f.check)
		k := f.keeper()
		kept := slices.DeleteFunc(slices.Clone(f.ids), func(id string) bool { return k.has(id) == lease.Full })
		k.pausedUntil = f.clk.Boot() + pause
		f.steady(pause+3*time.Second, pause.String(), func() error { return f.homes(lease.Full, kept) })
		f.want(15*time.Second, "recovery", f.whole)
	}
}
