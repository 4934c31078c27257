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

// The platform's limit on requests to a cold target within one second is
// overshoot*rate + slack.
const (
	coldOvershoot = 1.5
	coldSlack     = 5.0
)

// Guards against exceeding the limit of a cold target: each daemon stays within
// its own limit, but their first requests together are too many.
func TestColdLimitAcrossDaemons(t *testing.T) {
	for _, c := range []struct {
		daemons int
		rate    float64
	}{{1, 4}, {7, 1}, {7, 4}, {18, 1}, {18, 4}, {18, 20}} {
		t.Run(fmt.Sprintf("%d daemons, %v a second", c.daemons, c.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := shards.New(1)
				cold := e.Add("cold", behaviour(shards.MaxConnections(100)))
				routeLatency := targets.NewLatencyEstimator(100 * time.Millisecond)
				var groups []*targets.Group
				for position := range c.daemons {
					g := targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(e.Dial))
					limits := targets.NewColdLimits(c.rate, coldOvershoot, coldSlack, c.daemons, position)
					g.Resize(targets.NewGroupLimits(2, limits, targets.NewBudgetLimits(0.2, 54, c.daemons), true))
					g.Update([]targets.Entry{targets.NewEntry("cold", "s", cold.Address(), targets.Slots(2), targets.WarmUpLeft(time.Hour))})
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
				for i := range 600 { // 12 s with one request per daemon every 20 ms.
					for d, g := range groups {
						req := targets.NewRequest(fmt.Sprintf("q%d-%d", i, d), "GET", "/", "h", nil, nil, true, clock.System{}.Boot()+time.Hour)
						if g.Estimate(routeLatency, 0).SendsInTime() {
							g.Submit(targets.NewCall(req, routeLatency, results))
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
				if got, want := len(cold.Runs()), c.rate*12/2; float64(got) < want {
					t.Errorf("the cold target got %d requests in 12 s, want at least %.0f", got, want)
				}
				if most := cold.MaxArrivals(time.Second); float64(most) > c.rate*coldOvershoot+coldSlack {
					t.Errorf("the cold target got %d requests within a second, the bound is %v", most, c.rate*coldOvershoot+coldSlack)
				}
			})
		})
	}
}

// Guards against a waiting call that is not sent when the cold target may get
// it, but only at the next unrelated event.
func TestGroupDispatchAfterColdWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(0, behaviour())
		defer f.close()
		f.addTarget(behaviour(), targets.WarmUpLeft(time.Minute))
		f.resize(4)
		f.group.Update(f.entries)
		time.Sleep(time.Second)
		for i := range 3 {
			began := time.Now()
			c := f.send(fmt.Sprintf("q%d", i), true)
			if c == nil || c.Outcome() != targets.Answered || time.Since(began) > 500*time.Millisecond {
				t.Errorf("call %d: result received: %v, after %v; want an answer within 500 ms", i, c != nil, time.Since(began))
			}
		}
	})
}
