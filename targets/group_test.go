package targets_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/shards"
	"medlaryard.example/medlaryard/targets"
	"medlaryard.example/medlaryard/upgrade"
)

// fixture is a group with emulated targets, in simulated time.
type fixture struct {
	emulator     *shards.Emulator
	group        *targets.Group
	targets      []*shards.Target
	entries      []targets.Entry
	routeLatency *targets.LatencyEstimator
}

func newFixture(count int, b shards.Behaviour, opts ...targets.EntryOption) *fixture {
	f := &fixture{emulator: shards.New(1), routeLatency: targets.NewLatencyEstimator(100 * time.Millisecond)}
	f.group = targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(f.emulator.Dial), targets.PreferDomain("a"))
	f.resize(0)
	for range count {
		f.addTarget(b, opts...)
	}
	f.group.Update(f.entries)
	time.Sleep(50 * time.Millisecond)
	return f
}

func (f *fixture) resize(coldRate float64) {
	f.group.Resize(targets.NewGroupLimits(3, targets.NewColdLimits(coldRate, 1.5, 5, 1, 0), targets.NewBudgetLimits(0.2, 54, 1), true))
}

func (f *fixture) addTarget(b shards.Behaviour, opts ...targets.EntryOption) {
	t := f.emulator.Add(fmt.Sprintf("t%d", len(f.targets)), b)
	f.targets = append(f.targets, t)
	opts = append([]targets.EntryOption{targets.Domain("a", "r"), targets.Slots(2)}, opts...)
	f.entries = append(f.entries, targets.NewEntry(t.ID(), "s", t.Address(), opts...))
}

func (f *fixture) close() {
	f.group.Close()
	f.emulator.Close()
	time.Sleep(time.Minute)
}

// send submits one call and returns it when it has ended. It returns nil if
// Submit returns false or there is no result within 2 s.
func (f *fixture) send(id string, idempotent bool) *targets.Call {
	results := make(chan *targets.Call, 1)
	req := targets.NewRequest(id, "GET", "/p/"+id, "h", nil, nil, idempotent, clock.System{}.Boot()+time.Hour)
	c := targets.NewCall(req, f.routeLatency, results)
	if !f.group.Submit(c) {
		return nil
	}
	select {
	case <-results:
		return c
	case <-time.After(2 * time.Second):
		f.group.Abandon(c, false)
		return nil
	}
}

func behaviour(opts ...shards.Option) shards.Behaviour {
	return shards.NewBehaviour(5*time.Millisecond, append([]shards.Option{shards.Slots(2)}, opts...)...)
}

// Guards against a new version that gets more or less than its share of the
// requests, in particular because of retries and hedges.
func TestGroupVersionShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2, behaviour(), targets.Version("v1"))
		defer f.close()
		f.addTarget(behaviour(), targets.Version("v2"))
		f.group.Update(f.entries)
		f.group.Divide(upgrade.NewDivision(upgrade.NewOrderID(0, 1), "v2", upgrade.EqualShare(0.1)))
		for i := range 200 {
			f.send(fmt.Sprintf("q%d", i), true)
		}
		got := len(f.targets[2].Runs())
		if got < 19 || got > 20 {
			t.Errorf("the new version got %d of 200 requests, want 19 or 20", got)
		}
		f.group.Divide(upgrade.NewDivision(upgrade.NewOrderID(0, 1), "v2", upgrade.EqualShare(0)))
		for i := range 50 {
			f.send(fmt.Sprintf("r%d", i), true)
		}
		if n := len(f.targets[2].Runs()) - got; n != 0 {
			t.Errorf("the new version got %d more requests after its share ended", n)
		}
		f.group.Divide(upgrade.NewDivision(upgrade.NewOrderID(0, 1), "v2", upgrade.EqualShare(1)))
		for i := range 50 {
			f.send(fmt.Sprintf("s%d", i), true)
		}
		if n := len(f.targets[2].Runs()) - got; n != 50 {
			t.Errorf("the new version got %d of 50 requests after the move, want all", n)
		}
		total := f.group.Evidence(upgrade.NewOrderID(0, 1)).Total()
		oldTally, newTally := total.Old(), total.New()
		if oldTally.Requests()+newTally.Requests() != 300 || newTally.Requests() != got+50 || newTally.Bad() > 0 {
			t.Errorf("evidence of %d old and %d new requests, %d bad; want 300 in all, %d new, none bad", oldTally.Requests(), newTally.Requests(), newTally.Bad(), got+50)
		}
	})
}

// Guards against exceeding the request limit of a cold target, and against a
// target that gets too few requests once it is warm.
func TestGroupColdLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, behaviour())
		defer f.close()
		f.addTarget(behaviour(), targets.WarmUpLeft(5*time.Second))
		f.resize(4)
		f.group.Update(f.entries)
		for second := range 4 {
			before := len(f.targets[1].Runs())
			for i := range 100 {
				f.send(fmt.Sprintf("q%d-%d", second, i), true)
				time.Sleep(4 * time.Millisecond)
			}
			// The platform allows 1.5 times the rate plus 5 within a second; a
			// single daemon stays well below that.
			if n := len(f.targets[1].Runs()) - before; n > 6 {
				t.Errorf("the cold target got %d requests in second %d at a rate of 4 per second, want at most 6", n, second)
			}
		}
		time.Sleep(2 * time.Second)
		before := len(f.targets[1].Runs())
		for i := range 100 {
			f.send(fmt.Sprintf("warm%d", i), true)
		}
		if n := len(f.targets[1].Runs()) - before; n < 20 {
			t.Errorf("the warm target got %d of 100 requests, want 20 or more", n)
		}
	})
}

// Guards against losing a non-idempotent request on an idle connection that the
// target is about to close.
func TestGroupNonIdempotentUsesFreshConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, behaviour())
		defer f.close()
		f.send("first", false)
		before := f.targets[0].AcceptedConnections()
		time.Sleep(time.Second)
		f.send("second", false)
		if n := f.targets[0].AcceptedConnections() - before; n != 1 {
			t.Errorf("%d new connections for a request after 1 s of idle time, want 1", n)
		}
	})
}

// Guards against reconnecting without a delay while the target resets
// connections above its cap. This caused 11,772 resets in scenario trouble-2 of
// the smaller site.
func TestGroupDialBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, behaviour(shards.MaxConnections(0)))
		defer f.close()
		var dials atomic.Int64
		f.group.Close()
		f.group = targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(countingDialer(&dials, f.emulator)))
		f.resize(0)
		f.group.Update(f.entries)
		time.Sleep(10 * time.Second)
		// After the first second, one attempt per second is enough.
		if n := dials.Load(); n > 16 {
			t.Errorf("%d connection attempts in 10 s to a target at its cap, want at most 16", n)
		}
	})
}

// Guards against requests that queue at a slow target until they miss their
// objective, as in incident inc-aa96 of the smaller site.
func TestGroupSlowTargetConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, behaviour())
		defer f.close()
		for i := range 20 {
			f.send(fmt.Sprintf("q%d", i), true)
		}
		f.targets[0].SetBehaviour(behaviour(shards.Slow(20)))
		for i := range 6 {
			f.send(fmt.Sprintf("r%d", i), true)
		}
		done := make(chan struct{})
		for i := range 3 {
			go func() {
				f.send(fmt.Sprintf("s%d", i), true)
				done <- struct{}{}
			}()
		}
		time.Sleep(10 * time.Millisecond)
		if n := f.group.InFlight(); n != 1 {
			t.Errorf("%d requests in flight at a target that is 20 times slower, want 1", n)
		}
		for range 3 {
			<-done
		}
	})
}

// Guards against a data race between Update and the goroutines that open
// connections, which read the entries without the lock.
func TestGroupUpdateDuringConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2, behaviour(shards.Handshake(time.Millisecond)))
		defer f.close()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 50 {
				if c := f.send(fmt.Sprintf("q%d", i), false); c == nil || c.TargetID() == "" {
					t.Error("a request was sent to no target")
				}
			}
		}()
		for range 400 {
			f.group.Update(f.entries)
			time.Sleep(time.Millisecond)
		}
		<-done
	})
}

// Guards against repeated requests to an address that another target uses by
// now, where each of them counts against the budget of that target's service.
func TestGroupMisdirected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(0, behaviour())
		defer f.close()
		owner := f.emulator.Add("owner", behaviour())
		f.group.Update([]targets.Entry{targets.NewEntry("gone", "s", owner.Address(), targets.Domain("a", "r"), targets.Slots(2))})
		time.Sleep(50 * time.Millisecond)
		misdirected := 0
		for i := range 100 {
			if c := f.send(fmt.Sprintf("q%d", i), true); c != nil && c.Outcome() == targets.Misdirected {
				misdirected++
			}
			time.Sleep(40 * time.Millisecond)
		}
		if misdirected != 1 {
			t.Errorf("%d of 100 requests in 4 s went to the new owner of the address, want 1", misdirected)
		}
		if f.group.Reachable() {
			t.Error("the group is reachable although another target uses the address of its only target")
		}
		f.group.Update([]targets.Entry{targets.NewEntry("owner", "s", owner.Address(), targets.Domain("a", "r"), targets.Slots(2))})
		time.Sleep(50 * time.Millisecond)
		if c := f.send("again", true); c == nil || c.Outcome() != targets.Answered {
			t.Errorf("request to the owner under its own entry failed: %v", c)
		}
	})
}
