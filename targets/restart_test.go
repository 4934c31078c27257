package targets_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/shards"
	"medlaryard.example/medlaryard/targets"
)

// restartFixture has three daemons that share the load of one target.
type restartFixture struct {
	emulator *shards.Emulator
	target   *shards.Target
	groups   []*targets.Group
	notices  []*targets.Notices
	latency  *targets.LatencyEstimator
	results  chan *targets.Call
	sent     int
}

const (
	restartWarmUp = 3 * time.Second
	restartRate   = 4.0
)

// newRestartFixture starts the daemons. The entry of the target stays as it is,
// as in an outage of the store; stale reports whether the daemons know that.
func newRestartFixture(stale bool) *restartFixture {
	f := &restartFixture{emulator: shards.New(1), latency: targets.NewLatencyEstimator(100 * time.Millisecond), results: make(chan *targets.Call, 100000)}
	f.target = f.emulator.Add("t0", behaviour(shards.MaxConnections(100)))
	for position := range 3 {
		n := targets.NewNotices(clock.System{})
		g := targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(f.emulator.Dial), targets.NoticesIn(n),
			targets.EntriesStale(func() bool { return stale }))
		limits := targets.NewColdLimits(restartRate, coldOvershoot, coldSlack, 3, position).WarmUp(restartWarmUp)
		g.Resize(targets.NewGroupLimits(4, limits, targets.NewBudgetLimits(0.2, 54, 3), true))
		g.Update(f.entries())
		f.groups, f.notices = append(f.groups, g), append(f.notices, n)
	}
	return f
}

func (f *restartFixture) entries() []targets.Entry {
	return []targets.Entry{targets.NewEntry(f.target.ID(), "s", f.target.Address(), targets.Slots(2))}
}

func (f *restartFixture) close() {
	for _, g := range f.groups {
		g.Close()
	}
	f.emulator.Close()
	time.Sleep(time.Minute)
}

// load sends 200 requests a second for d. Their callers wait for 400 ms.
func (f *restartFixture) load(d time.Duration) {
	for began := time.Now(); time.Since(began) < d; time.Sleep(5 * time.Millisecond) {
		f.sent++
		g := f.groups[f.sent%len(f.groups)]
		req := targets.NewRequest(fmt.Sprintf("q%d", f.sent), "GET", "/", "h", nil, nil, true, clock.System{}.Boot()+time.Hour)
		if c := targets.NewCall(req, f.latency, f.results); g.Submit(c) {
			time.AfterFunc(400*time.Millisecond, func() { g.Abandon(c, false) })
		}
	}
}

// Guards against a target that restarts under its ID while the store is away and
// gets its usual load although it is cold (FAILBACK).
func TestRestartedTargetGetsUsualLoad(t *testing.T) {
	const bound = restartRate*coldOvershoot + coldSlack
	for _, c := range []struct {
		name    string
		absent  shards.Option
		stale   bool
		limited bool
	}{
		{"connections are refused", shards.Down(), false, true},
		{"connections are refused, entries are stale", shards.Down(), true, true},
		{"silent, entries are stale", shards.Blackhole(), true, true},
		{"silent, entries are current", shards.Blackhole(), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestartFixture(c.stale)
				defer f.close()
				f.load(2 * time.Second)
				b := behaviour(shards.MaxConnections(100))
				f.target.SetBehaviour(b.With(c.absent))
				f.load(1500 * time.Millisecond)
				f.target.SetBehaviour(b)
				back := time.Now()
				f.load(restartWarmUp)
				if most := f.target.MaxArrivalsSince(back, time.Second); (float64(most) <= bound) != c.limited {
					t.Errorf("at most %d requests within a second while cold, want within the bound of %v: %v", most, bound, c.limited)
				}
				f.load(2 * time.Second)
				warm := time.Now()
				f.load(2 * time.Second)
				if most := f.target.MaxArrivalsSince(warm, time.Second); float64(most) <= bound {
					t.Errorf("at most %d requests within a second once warm, want more than %v", most, bound)
				}
			})
		})
	}
}

// Guards against a daemon that sends its usual load to a cold target because only
// the other daemons have seen the target restart.
func TestRestartSeenByOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartFixture(true)
		defer f.close()
		f.load(time.Second)
		b := behaviour(shards.MaxConnections(100))
		f.target.SetBehaviour(b.With(shards.Down()))
		f.load(time.Second)
		f.target.SetBehaviour(b)
		f.load(time.Second)
		shared := f.notices[0].Recent()
		var got []string
		for _, s := range shared {
			got = append(got, fmt.Sprint(s.Leaving(), s.ColdFor() > time.Second, s.ColdFor() <= restartWarmUp))
		}
		if diff := cmp.Diff([]string{"false true true"}, got); diff != "" {
			t.Fatalf("leaving, cold for more than a second, cold for at most the warm-up (-want +got):\n%s", diff)
		}
		late := targets.NewNotices(clock.System{})
		late.Merge(shared)
		if again := late.Recent(); len(again) > 0 {
			t.Errorf("%d notices are passed on by a daemon that has not seen the restart, want none", len(again))
		}
		g := targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(f.emulator.Dial), targets.NoticesIn(late))
		defer g.Close()
		g.Resize(targets.NewGroupLimits(4, targets.NewColdLimits(restartRate, coldOvershoot, coldSlack, 1, 0).WarmUp(restartWarmUp), targets.NewBudgetLimits(0.2, 54, 1), true))
		g.Update(f.entries())
		time.Sleep(100 * time.Millisecond)
		f.groups = []*targets.Group{g}
		start := time.Now()
		f.load(time.Second)
		if most := f.target.MaxArrivalsSince(start, time.Second); most > restartRate {
			t.Errorf("the cold target got %d requests within a second from one daemon, want at most %v", most, restartRate)
		}
	})
}
