package targets_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/shards"
	"medlaryard.example/medlaryard/targets"
)

// restartFixture has daemons that share the load of one target.
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
// as in an outage of the store. Rate is the limit of a cold target, 0 for none.
func newRestartFixture(daemons int, rate float64) *restartFixture {
	f := &restartFixture{emulator: shards.New(1), latency: targets.NewLatencyEstimator(100 * time.Millisecond), results: make(chan *targets.Call, 100000)}
	f.target = f.emulator.Add("t0", behaviour(shards.MaxConnections(100)))
	for position := range daemons {
		n := targets.NewNotices(clock.System{})
		g := targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(f.emulator.Dial), targets.NoticesIn(n))
		limits := targets.NewColdLimits(rate, coldOvershoot, coldSlack, daemons, position).WarmUp(restartWarmUp, shards.HealthPath)
		g.Resize(targets.NewGroupLimits(4, limits, targets.NewBudgetLimits(0.2, 54, daemons), true))
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

// exchange passes on what each daemon knows of the target, as heartbeats do.
func (f *restartFixture) exchange() {
	for i, n := range f.notices {
		for j, other := range f.notices {
			if i != j {
				other.Merge(n.Recent())
			}
		}
	}
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
// gets its usual load although it is cold (FAILBACK), and against one that is
// limited although it was only cut off or its connections broke.
func TestRestartedTargetGetsUsualLoad(t *testing.T) {
	const bound = restartRate*coldOvershoot + coldSlack
	for _, c := range []struct {
		name      string
		behaviour shards.Option
		absence   time.Duration
		restarts  bool
	}{
		{"connections are refused", shards.Down(), 1500 * time.Millisecond, true},
		{"connections are refused for long", shards.Down(), 10 * time.Second, true},
		{"silent", shards.Blackhole(), 1500 * time.Millisecond, true},
		{"connections break", nil, 0, true},
		{"not restarted, silent", shards.Blackhole(), 1500 * time.Millisecond, false},
		{"not restarted, connections break", nil, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestartFixture(3, restartRate)
				defer f.close()
				f.load(2 * time.Second)
				b := behaviour(shards.MaxConnections(100))
				if c.absence > 0 {
					f.target.SetBehaviour(b.With(c.behaviour))
					f.load(c.absence)
				}
				if c.restarts {
					f.target.SetCold(restartWarmUp)
				}
				f.target.SetBehaviour(b)
				if c.absence == 0 {
					f.target.ResetConns()
				}
				back := time.Now()
				f.load(restartWarmUp)
				if most := f.target.MaxArrivalsSince(back, time.Second); (float64(most) <= bound) != c.restarts {
					t.Errorf("at most %d requests within a second, want within the bound of %v: %v", most, bound, c.restarts)
				}
				if n := f.target.Probes(); n > len(f.groups) {
					t.Errorf("%d probes from %d daemons, want at most one from each", n, len(f.groups))
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

// Guards against a restart that a daemon does not see because its connection was
// idle, and against a probe each time a connection closes for its age.
func TestRestartWhileIdle(t *testing.T) {
	for _, c := range []struct {
		name   string
		idle   time.Duration
		header []shards.Option
		probes int
	}{
		{"closed before the stated timeout", 2 * time.Second, []shards.Option{shards.Header("Keep-Alive", "timeout=5")}, 1},
		{"closed at the stated timeout", 5 * time.Second, []shards.Option{shards.Header("Keep-Alive", "timeout=5")}, 0},
		{"closed soon", 100 * time.Millisecond, nil, 1},
		{"closed late, no stated timeout", 2 * time.Second, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestartFixture(1, restartRate)
				defer f.close()
				b := behaviour(shards.MaxConnections(100)).With(c.header...)
				f.target.SetBehaviour(b)
				f.load(10 * time.Millisecond)
				time.Sleep(c.idle)
				f.target.ResetConns()
				time.Sleep(time.Second)
				if n := f.target.Probes(); n != c.probes {
					t.Errorf("%d probes, want %d", n, c.probes)
				}
			})
		})
	}
}

// Guards against doubt about a target that is too busy to take another connection,
// while it answers on those that it has.
func TestDoubtWhileConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartFixture(1, restartRate)
		defer f.close()
		var busy atomic.Bool
		g := targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(func(ctx context.Context, address string) (net.Conn, error) {
			if busy.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return f.emulator.Dial(ctx, address)
		}))
		g.Resize(targets.NewGroupLimits(4, targets.NewColdLimits(restartRate, coldOvershoot, coldSlack, 1, 0).WarmUp(restartWarmUp, shards.HealthPath), targets.NewBudgetLimits(0.2, 54, 1), true))
		g.Update(f.entries())
		f.groups[0].Close()
		f.groups[0] = g
		time.Sleep(100 * time.Millisecond)
		busy.Store(true)
		f.load(time.Second)
		busy.Store(false)
		f.load(2 * time.Second)
		if n, opened := f.target.Probes(), f.target.AcceptedConnections(); n > 0 || opened < 3 {
			t.Errorf("%d probes, %d connections opened, want none and at least 3", n, opened)
		}
	})
}

// Guards against a target that gets no requests for more than a moment because
// connections to it broke.
func TestDoubtLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartFixture(3, restartRate)
		defer f.close()
		f.load(time.Second)
		for range 20 {
			f.target.ResetConns()
			before := len(f.target.Runs())
			f.load(250 * time.Millisecond)
			if n := len(f.target.Runs()) - before; n < 30 {
				t.Errorf("%d of 50 requests ran in the 250 ms after connections broke, want at least 30", n)
			}
		}
	})
}

// Guards against more requests to a cold target than it bears, probes included, from
// more daemons than may send to it, and against daemons that send it nothing once it
// is known not to be cold.
func TestRestartAcrossDaemons(t *testing.T) {
	const bound = restartRate*coldOvershoot + coldSlack
	for _, daemons := range []int{7, 18} {
		for _, restarts := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d daemons, restarts %v", daemons, restarts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRestartFixture(daemons, restartRate)
					defer f.close()
					f.load(2 * time.Second)
					if restarts {
						f.target.SetCold(restartWarmUp)
					}
					f.target.ResetConns()
					back := time.Now()
					for range 10 {
						f.load(restartWarmUp / 10)
						f.exchange()
					}
					if most := f.target.MaxArrivalsSince(back, time.Second); (float64(most) <= bound) != restarts {
						t.Errorf("at most %d requests within a second, want within the bound of %v: %v", most, bound, restarts)
					}
					f.load(time.Second)
					for i, g := range f.groups {
						if !g.Reachable() || !g.Estimate(f.latency, 0).Available() {
							t.Errorf("daemon %d sends nothing to the target that is warm", i)
						}
					}
				})
			})
		}
	}
}

// Guards against connections without end to a target in doubt whose service has no
// limit for cold targets, so that no probe ends the doubt.
func TestDoubtWithoutLimit(t *testing.T) {
	for name, o := range map[string]shards.Option{"silent": shards.Blackhole(), "connections break": shards.Down()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestartFixture(3, 0)
				defer f.close()
				f.load(time.Second)
				b := behaviour(shards.MaxConnections(100))
				f.target.SetBehaviour(b.With(o))
				f.load(1500 * time.Millisecond)
				f.target.SetBehaviour(b)
				before := f.target.AcceptedConnections()
				f.load(time.Second)
				if n := f.target.AcceptedConnections() - before; n > 20 || f.target.Probes() > 0 {
					t.Errorf("%d connections and %d probes from three daemons, want at most 20 and none", n, f.target.Probes())
				}
			})
		})
	}
}

// Guards against a daemon that sends its usual load to a cold target because only
// the other daemons have seen the target restart.
func TestRestartSeenByOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartFixture(3, restartRate)
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
		g.Resize(targets.NewGroupLimits(4, targets.NewColdLimits(restartRate, coldOvershoot, coldSlack, 1, 0).WarmUp(restartWarmUp, shards.HealthPath), targets.NewBudgetLimits(0.2, 54, 1), true))
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
