package targets_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/shards"
	"medlaryard.example/medlaryard/targets"
)

// pausableClock is the clock of a VM that can be paused; only boot time
// includes the pauses.
type pausableClock struct {
	clock.System
	paused *atomic.Int64 // Nanoseconds.
}

// Boot returns the boot time.
func (p pausableClock) Boot() time.Duration { return p.System.Boot() + time.Duration(p.paused.Load()) }

// Guards against requests that a daemon sends after a pause of its VM although
// their deadlines passed during the pause.
func TestGroupDeadlineAfterVMPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := pausableClock{paused: new(atomic.Int64)}
		e := shards.New(1)
		tgt := e.Add("t", behaviour(shards.MaxConnections(5)))
		g := targets.NewGroup("s", platform.TargetProtocol(), targets.Dial(e.Dial), targets.Clock(c))
		g.Update([]targets.Entry{targets.NewEntry("t", "s", tgt.Address(), targets.Slots(2))})
		defer func() {
			g.Close()
			e.Close()
			time.Sleep(time.Minute)
		}()
		routeLatency := targets.NewLatencyEstimator(100 * time.Millisecond)
		results := make(chan *targets.Call, 1)
		for _, s := range []struct {
			pause time.Duration
			want  targets.Outcome
		}{{0, targets.Answered}, {2 * time.Second, targets.NotSent}} {
			req := targets.NewRequest("q", "GET", "/", "h", nil, nil, true, c.Boot()+time.Second)
			c.paused.Add(int64(s.pause))
			call := targets.NewCall(req, routeLatency, results)
			if !g.Submit(call) {
				t.Fatal("Submit returned false, want the call to be queued")
			}
			<-results
			if call.Outcome() != s.want {
				t.Errorf("after a pause of %v the call ended as %s, want %s", s.pause, call.Outcome(), s.want)
			}
		}
	})
}
