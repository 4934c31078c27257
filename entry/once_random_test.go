package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/once"
	"medlaryard.example/medlaryard/refusal"
)

// onceRequests is the number of non-idempotent requests over all seeds.
const onceRequests = 10_000

// Guards against a request that runs twice, or that runs although a caller got the
// outcome "not run". Resends go to any daemon, copies arrive late, replies are lost,
// daemons are killed or paused, and searchers crash before, during and after the run.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	const seeds = 10
	sum := make(map[string]int)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newDaemonCluster(t, seed)
			stop := make(chan struct{})
			go f.injectFaults(stop)
			for result, n := range f.runCallers(onceRequests / seeds) {
				sum[result] += n
			}
			close(stop)
			time.Sleep(20 * time.Second) // Lets late copies finish.
		})
	}
	t.Logf("%d requests: %v", onceRequests, sum)
	for _, result := range []string{"ran", "refused", "unknown"} {
		if sum[result] == 0 {
			t.Errorf("no request ended as %q", result)
		}
	}
}

// injectFaults kills or pauses random daemons until stop is closed.
func (f *daemonCluster) injectFaults(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+f.random(400)) * time.Millisecond):
		}
		i := f.random(len(f.nodes))
		if f.random(3) == 0 {
			f.start(i)
			continue
		}
		pause := time.Duration(f.random(600)) * time.Millisecond
		f.mu.Lock()
		f.nodes[i].pausedUntil = f.clk.Boot() + pause
		f.mu.Unlock()
	}
}

// callerOutcomes holds the outcomes that one caller received for its request.
type callerOutcomes struct {
	mu       sync.Mutex
	outcomes []once.Outcome
}

func (f *daemonCluster) runCallers(n int) map[string]int {
	outcomes := make([]*callerOutcomes, n)
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Duration(f.random(8)) * time.Millisecond)
		outcomes[i] = &callerOutcomes{}
		wg.Go(func() { f.sendAndResend(fmt.Sprint("r", i), outcomes[i]) })
	}
	wg.Wait()
	time.Sleep(20 * time.Second)
	sum := make(map[string]int)
	for i := range n {
		sum[f.checkOutcomes(fmt.Sprint("r", i), outcomes[i])]++
	}
	return sum
}

// sendAndResend sends a request and resends it up to three times with the same
// ticket.
func (f *daemonCluster) sendAndResend(id string, received *callerOutcomes) {
	f.mu.Lock()
	first := f.nodes[f.rng.IntN(len(f.nodes))]
	f.mu.Unlock()
	r := Run{
		Query: Query{
			id: id, owner: "o", class: catalogue.Interactive, service: "log", route: "r",
			deadline: 300 * time.Millisecond, body: []byte(`"` + id + `"`),
		},
		ticket: Ticket{incarnation: first.home.Incarnation(), issued: first.e.Now().Truncate(time.Millisecond)},
	}
	var wg sync.WaitGroup
	for k := range 1 + f.random(4) {
		f.mu.Lock()
		d := f.nodes[f.rng.IntN(len(f.nodes))]
		f.mu.Unlock()
		if k == 0 {
			d = first
		}
		delay := time.Duration(f.random(200)) * time.Millisecond
		if f.random(20) == 0 {
			delay += 5 * time.Second // After the window.
		}
		wg.Go(func() {
			time.Sleep(delay)
			if !d.waitWhilePaused() {
				return
			}
			o := d.e.Run(context.Background(), r, f.clk.Boot())
			if !d.waitWhilePaused() || f.random(10) == 0 {
				return // The reply is lost.
			}
			received.mu.Lock()
			received.outcomes = append(received.outcomes, o)
			received.mu.Unlock()
		})
		if f.random(2) == 0 {
			wg.Wait()
		}
	}
	wg.Wait()
}

func (f *daemonCluster) checkOutcomes(id string, received *callerOutcomes) string {
	f.mu.Lock()
	runs := f.runs[id]
	f.mu.Unlock()
	if runs > 1 {
		f.t.Errorf("%s ran %d times", id, runs)
	}
	result := "no reply"
	for _, o := range received.outcomes {
		switch {
		case o.Kind() == refusal.None:
			result = "ran"
			if runs != 1 {
				f.t.Errorf("%s has an answer but ran %d times", id, runs)
			}
		case o.Ran() == refusal.NotRun:
			if runs > 0 {
				f.t.Errorf("%s has the outcome \"not run\" but ran: %v", id, o.Err())
			}
			if result != "ran" {
				result = "refused"
			}
		case result == "no reply":
			result = "unknown"
		}
	}
	return result
}
