package home

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// tail is the outcome of runs with a searcher that is slow for a time.
type tail struct {
	calm, slow, after []time.Duration
	partial           int
	subs, extra       int64
}

func p99(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)*99/100]
}

// run measures 20 shards of two searchers: for a time without a fault, for twice
// the time with the named searcher ten times slow, and again 10 s after its
// recovery.
func (out *tail) run(policy catalogue.Policy, load float64, slow string, seed uint64, d time.Duration) {
	y := newFixture(fixtureSpec{seed: seed, shards: 20, replicas: 2, slots: 2, daemons: 7, policy: policy})
	y.c.run(time.Second)
	y.load(load, 10*time.Second)
	y.take()
	y.load(load, d)
	out.calm = y.take()
	subs, extra := y.counts()
	y.fakes[slow].slow = 10
	y.load(load, 2*d)
	out.slow = y.take()
	out.subs, out.extra = y.counts()
	out.subs -= subs
	out.extra -= extra
	y.fakes[slow].slow = 1
	y.load(load, 10*time.Second)
	y.take()
	y.load(load, d)
	out.after = y.take()
	out.partial = y.partial
}

// runTails pools the runs of several seeds, because the p99 of one run at high
// use of the sound searcher varies by a quarter.
func runTails(policy catalogue.Policy, load float64, slow string, seeds int, d time.Duration) tail {
	runs := make([]tail, seeds)
	var wg sync.WaitGroup
	for seed := range runs {
		wg.Go(func() { runs[seed].run(policy, load, slow, uint64(seed), d) })
	}
	wg.Wait()
	var all tail
	for _, r := range runs {
		all.calm = append(all.calm, r.calm...)
		all.slow = append(all.slow, r.slow...)
		all.after = append(all.after, r.after...)
		all.partial += r.partial
		all.subs += r.subs
		all.extra += r.extra
	}
	return all
}

func (out *tail) check(t *testing.T, bound float64) {
	t.Helper()
	calm, slow, after := p99(out.calm), p99(out.slow), p99(out.after)
	extra := float64(out.extra) / float64(out.subs)
	t.Logf("p99 calm %v, slow %v (ratio %.2f), after %v, extra %.4f", calm, slow, float64(slow)/float64(calm), after, extra)
	if float64(slow) > bound*float64(calm) {
		t.Errorf("p99 %v with a slow searcher, %v without", slow, calm)
	}
	if float64(after) > 1.2*float64(calm) {
		t.Errorf("p99 %v after recovery, %v before the fault", after, calm)
	}
	if out.partial > 0 {
		t.Errorf("%d partial answers", out.partial)
	}
	if extra > 0.05 {
		t.Errorf("%.3f extra sub-requests", extra)
	}
}

// Guards against a slow searcher that determines the response time of every
// query, at the targets of the load policy. The home is in the failure domain
// of s03-1. Under the race detector, which makes the simulation last minutes and
// finds nothing in it because its goroutines share nothing, only the first case
// runs; "go test -run Tail ./home" runs all.
func TestTailWithSlowSearcher(t *testing.T) {
	cases := []struct {
		load, bound float64
		slow        string
		seeds       int
		d           time.Duration
	}{
		{0.3, 1.5, "s03-0", 1, 10 * time.Second},
		{0.3, 1.5, "s03-1", 8, 30 * time.Second},
		{0.4, 2, "s03-0", 4, 30 * time.Second},
	}
	if raceDetector {
		cases = cases[:1]
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%g/%s", c.load, c.slow), func(t *testing.T) {
			got := runTails(catalogue.Current, c.load, c.slow, c.seeds, c.d)
			got.check(t, c.bound)
		})
	}
}

// Guards against a comparison with a baseline that is not worse, which would
// show that the fakes do not produce the fault.
func TestTailOfBaseline(t *testing.T) {
	got := runTails(catalogue.Baseline, 0.3, "s03-0", 1, 5*time.Second)
	calm, slow := p99(got.calm), p99(got.slow)
	t.Logf("p99 calm %v, slow %v (ratio %.2f)", calm, slow, float64(slow)/float64(calm))
	if slow < 2*calm {
		t.Errorf("p99 %v with a slow searcher, %v without", slow, calm)
	}
}
