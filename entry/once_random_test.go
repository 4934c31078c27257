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

// onceRequests is the number of non-idempotent requests of the run.
const onceRequests = 10_000

// Guards against a request that runs twice, or that runs although a caller was
// told that it did not, while callers resend to the same and other daemons,
// copies arrive late, daemons are killed or paused, replies are lost and
// searchers die before, during and after the run.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	const seeds = 10
	sum := make(map[string]int)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			y := newFixture(t, seed)
			stop := make(chan struct{})
			go y.disturb(stop)
			for what, n := range y.callers(onceRequests / seeds) {
				sum[what] += n
			}
			close(stop)
			time.Sleep(20 * time.Second) // Late copies end.
		})
	}
	t.Logf("%d requests: %v", onceRequests, sum)
	for _, what := range []string{"ran", "refused", "unknown"} {
		if sum[what] == 0 {
			t.Errorf("no request ended as %q", what)
		}
	}
}

// disturb kills and pauses daemons.
func (y *fixture) disturb(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+y.random(400)) * time.Millisecond):
		}
		i := y.random(len(y.slots))
		if y.random(3) == 0 {
			y.start(i)
			continue
		}
		pause := time.Duration(y.random(600)) * time.Millisecond
		y.mu.Lock()
		y.slots[i].paused = y.clk.Boot() + pause
		y.mu.Unlock()
	}
}

// told is what one caller heard about its request.
type told struct {
	mu       sync.Mutex
	outcomes []once.Outcome
}

func (y *fixture) callers(n int) map[string]int {
	heard := make([]*told, n)
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Duration(y.random(8)) * time.Millisecond)
		heard[i] = &told{}
		wg.Go(func() { y.call(fmt.Sprint("r", i), heard[i]) })
	}
	wg.Wait()
	time.Sleep(20 * time.Second)
	sum := make(map[string]int)
	for i := range n {
		sum[y.verdict(fmt.Sprint("r", i), heard[i])]++
	}
	return sum
}

// call sends a request and resends it with the same ticket.
func (y *fixture) call(id string, to *told) {
	y.mu.Lock()
	first := y.slots[y.rng.IntN(len(y.slots))]
	y.mu.Unlock()
	r := Run{
		Query: Query{
			id: id, owner: "o", class: catalogue.Interactive, service: "log", route: "r",
			deadline: 300 * time.Millisecond, body: []byte(`"` + id + `"`),
		},
		ticket: Ticket{incarnation: first.home.Incarnation(), issued: first.e.Now().Truncate(time.Millisecond)},
	}
	var wg sync.WaitGroup
	for k := range 1 + y.random(4) {
		y.mu.Lock()
		d := y.slots[y.rng.IntN(len(y.slots))]
		y.mu.Unlock()
		if k == 0 {
			d = first
		}
		late := time.Duration(y.random(200)) * time.Millisecond
		if y.random(20) == 0 {
			late += 5 * time.Second // After the window.
		}
		wg.Go(func() {
			time.Sleep(late)
			if !d.settle() {
				return
			}
			o := d.e.Run(context.Background(), r, y.clk.Boot())
			if !d.settle() || y.random(10) == 0 {
				return // The reply is lost.
			}
			to.mu.Lock()
			to.outcomes = append(to.outcomes, o)
			to.mu.Unlock()
		})
		if y.random(2) == 0 {
			wg.Wait()
		}
	}
	wg.Wait()
}

func (y *fixture) verdict(id string, to *told) string {
	y.mu.Lock()
	runs := y.runs[id]
	y.mu.Unlock()
	if runs > 1 {
		y.t.Errorf("%s ran %d times", id, runs)
	}
	what := "no reply"
	for _, o := range to.outcomes {
		switch {
		case o.Kind() == refusal.None:
			what = "ran"
			if runs != 1 {
				y.t.Errorf("%s is answered and ran %d times", id, runs)
			}
		case o.Ran() == refusal.NotRun:
			if runs > 0 {
				y.t.Errorf("%s is called not run and ran: %v", id, o.Err())
			}
			if what != "ran" {
				what = "refused"
			}
		case what == "no reply":
			what = "unknown"
		}
	}
	return what
}
