package home

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// tailRun holds the latencies before, during and after a time in which one
// searcher is slow.
type tailRun struct {
	before, during, after []time.Duration
	partial               int
	subs, extra           int64
}

func p99(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)*99/100]
}

// run measures 20 shards of two searchers: for d without a fault, for 2*d with
// the named searcher ten times slower, and for d again, 10 s after its
// recovery.
func (out *tailRun) run(policy catalogue.Policy, load float64, slowSearcher string, seed uint64, d time.Duration) {
	fx := newFixture(fixtureSpec{seed: seed, shards: 20, replicas: 2, slots: 2, daemons: 7, policy: policy})
	fx.clk.run(time.Second)
	fx.load(load, 10*time.Second)
	fx.takeLatencies()
	fx.load(load, d)
	out.before = fx.takeLatencies()
	subs, extra := fx.budgetTotals()
	fx.fakes[slowSearcher].slowdown = 10
	fx.load(load, 2*d)
	out.during = fx.takeLatencies()
	out.subs, out.extra = fx.budgetTotals()
	out.subs -= subs
	out.extra -= extra
	fx.fakes[slowSearcher].slowdown = 1
	fx.load(load, 10*time.Second)
	fx.takeLatencies()
	fx.load(load, d)
	out.after = fx.takeLatencies()
	out.partial = fx.partial
}

// runTails pools the runs of several seeds, because the p99 of one run varies
// by a quarter when the healthy searcher is highly loaded.
func runTails(policy catalogue.Policy, load float64, slowSearcher string, seeds int, d time.Duration) tailRun {
	runs := make([]tailRun, seeds)
	var wg sync.WaitGroup
	for seed := range runs {
		wg.Go(func() { runs[seed].run(policy, load, slowSearcher, uint64(seed), d) })
	}
	wg.Wait()
	var all tailRun
	for _, r := range runs {
		all.before = append(all.before, r.before...)
		all.during = append(all.during, r.during...)
		all.after = append(all.after, r.after...)
		all.partial += r.partial
		all.subs += r.subs
		all.extra += r.extra
	}
	return all
}

func (out *tailRun) check(t *testing.T, bound float64) {
	t.Helper()
	before, during, after := p99(out.before), p99(out.during), p99(out.after)
	extra := float64(out.extra) / float64(out.subs)
	t.Logf("p99 before %v, during %v (ratio %.2f), after %v, extra %.4f", before, during, float64(during)/float64(before), after, extra)
	if float64(during) > bound*float64(before) {
		t.Errorf("p99 %v with a slow searcher, %v without", during, before)
	}
	if float64(after) > 1.2*float64(before) {
		t.Errorf("p99 %v after recovery, %v before the fault", after, before)
	}
	if out.partial > 0 {
		t.Errorf("%d partial answers", out.partial)
	}
	if extra > 0.05 {
		t.Errorf("ratio of extra sub-requests is %.3f", extra)
	}
}

// Guards against one slow searcher that determines the response time of every
// query. The bounds are the targets of the load policy. The home is in the
// failure domain of s03-1.
func TestTailWithSlowSearcher(t *testing.T) {
	cases := []struct {
		load, bound  float64
		slowSearcher string
		seeds        int
		d            time.Duration
	}{
		{0.3, 1.5, "s03-0", 1, 10 * time.Second},
		{0.3, 1.5, "s03-1", 8, 30 * time.Second},
		{0.4, 2, "s03-0", 4, 30 * time.Second},
	}
	if raceEnabled {
		// All cases would take minutes, and the goroutines of the simulation
		// share no data; "go test -run Tail ./home" runs all.
		cases = cases[:1]
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%g/%s", c.load, c.slowSearcher), func(t *testing.T) {
			got := runTails(catalogue.Current, c.load, c.slowSearcher, c.seeds, c.d)
			got.check(t, c.bound)
		})
	}
}

// Guards against fakes that do not produce the fault: with the baseline policy
// a slow searcher must increase the p99.
func TestTailOfBaseline(t *testing.T) {
	got := runTails(catalogue.Baseline, 0.3, "s03-0", 1, 5*time.Second)
	before, during := p99(got.before), p99(got.during)
	t.Logf("p99 before %v, during %v (ratio %.2f)", before, during, float64(during)/float64(before))
	if during < 2*before {
		t.Errorf("p99 %v with a slow searcher, %v without", during, before)
	}
}
