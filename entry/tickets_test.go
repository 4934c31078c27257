package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/refusal"
)

// pausingClock calls a function once, before the next reading of the boot time.
type pausingClock struct {
	fakeClock
	pause func()
}

func (c *pausingClock) Boot() time.Duration {
	if f := c.pause; f != nil {
		c.pause = nil
		f()
	}
	return c.fakeClock.Boot()
}

// Guards against a copy of a request that is told "not run" although another copy runs: that
// one was recorded, and the table was full, between the copy's look at the table and the check
// of its ticket.
func TestCopyOfRunningRequestIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDaemonCluster(t, 1)
		n := f.nodes[0]
		c := &pausingClock{fakeClock: f.clk}
		n.e.clk = c
		r := Run{
			Query:  Query{id: "a", owner: "o", class: catalogue.Interactive, service: "log", route: "r", deadline: 300 * time.Millisecond, body: []byte(`"a"`)},
			ticket: Ticket{incarnation: n.home.Incarnation(), issued: n.e.Now().Truncate(time.Millisecond)},
		}
		time.Sleep(10 * time.Millisecond)
		c.pause = func() {
			go n.e.Run(context.Background(), r, f.clk.Boot())
			synctest.Wait()
			n.e.cutoffs.set(r.owner, n.e.Now())
		}
		deadline := f.clk.Boot() + r.deadline
		o := n.e.runLocally(context.Background(), r, f.clk.Boot(), deadline)
		time.Sleep(time.Second)
		f.mu.Lock()
		runs := f.runs["a"]
		f.mu.Unlock()
		refused := o.Ran() == refusal.NotRun
		if diff := cmp.Diff([]any{1, false}, []any{runs, refused}); diff != "" {
			t.Errorf("runs of the request, told that it has not run (-want +got):\n%s\noutcome: %v", diff, o.Err())
		}
	})
}
