package targets_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/shards"
	"medlaryard.example/medlaryard/targets"
)

// The platform's bound on requests to a cold target within one second.
const (
	coldOvershoot = 1.5
	coldSlack     = 5.0
)

// Guards against daemons that each send their first request to a target that has
// just turned cold, which together are more than it bears.
func TestDaemonsTogetherSpareAColdTarget(t *testing.T) {
	for _, c := range []struct {
		daemons int
		rate    float64
	}{{1, 4}, {7, 1}, {7, 4}, {18, 1}, {18, 4}, {18, 20}} {
		t.Run(fmt.Sprintf("%d daemons, %v a second", c.daemons, c.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := shards.New(1)
				cold := e.Add("cold", sound(shards.MaxConnections(100)))
				pace := targets.NewPace(100 * time.Millisecond)
				var groups []*targets.Group
				for position := range c.daemons {
					g := targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(e.Dial))
					limits := targets.NewColdLimits(c.rate, coldOvershoot, coldSlack, c.daemons, position)
					g.Resize(targets.NewSizing(2, limits, targets.NewBudgetLimits(0.2, 54, c.daemons), true))
					g.Update([]targets.Entry{targets.NewEntry("cold", "s", cold.Address(), targets.Slots(2), targets.WarmLeft(time.Hour))})
					groups = append(groups, g)
				}
				defer func() {
					for _, g := range groups {
						g.Close()
					}
					e.Close()
					time.Sleep(time.Minute)
				}()
				results := make(chan *targets.Call, 100000)
				for i := range 600 { // 12 s with a request at each daemon every 20 ms.
					for d, g := range groups {
						req := targets.NewRequest(fmt.Sprintf("q%d-%d", i, d), "GET", "/", "h", nil, nil, true, clock.System{}.Boot()+time.Hour)
						if g.Outlook(pace, 0).Soon() {
							g.Submit(targets.NewCall(req, pace, results))
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
				if got, want := len(cold.Runs()), c.rate*12/2; float64(got) < want {
					t.Errorf("the cold target got %d requests in 12 s, want %.0f at least", got, want)
				}
				if most := cold.MostArrivals(time.Second); float64(most) > c.rate*coldOvershoot+coldSlack {
					t.Errorf("the cold target got %d requests within a second, the bound is %v", most, c.rate*coldOvershoot+coldSlack)
				}
			})
		})
	}
}

// Guards against a call that waits for a cold target until something else happens.
func TestWaitingCallIsSentWhenAColdTargetMayTakeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0, sound())
		defer w.close()
		w.add(sound(), targets.WarmLeft(time.Minute))
		w.size(4)
		w.group.Update(w.entries)
		time.Sleep(time.Second)
		for i := range 3 {
			began := time.Now()
			c := w.send(fmt.Sprintf("q%d", i), true)
			if c == nil || c.Outcome() != targets.Answered || time.Since(began) > 500*time.Millisecond {
				t.Errorf("call %d was answered %v after %v, want an answer within 500 ms", i, c != nil, time.Since(began))
			}
		}
	})
}
