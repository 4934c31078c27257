package home

import (
	"fmt"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// tail is the outcome of one run with a searcher that is slow for a time.
type tail struct {
	calm, slow, after time.Duration
	partial           int
	extra             float64
}

// runTail measures 20 shards of two searchers: 30 s without a fault, 60 s with
// the named searcher ten times slow, and 20 s that start 10 s after its recovery.
func runTail(policy catalogue.Policy, load float64, slow string, seed uint64) tail {
	y := newYard(yardSpec{seed: seed, shards: 20, replicas: 2, slots: 2, daemons: 7, policy: policy})
	y.c.run(time.Second)
	y.load(load, 10*time.Second)
	y.latency, y.partial = nil, 0
	var out tail
	y.load(load, 30*time.Second)
	out.calm = y.p99()
	subs0, extra0 := y.counts()
	y.fakes[slow].slow = 10
	y.load(load, 60*time.Second)
	out.slow = y.p99()
	subs, extra := y.counts()
	out.extra = float64(extra-extra0) / float64(subs-subs0)
	y.fakes[slow].slow = 1
	y.load(load, 10*time.Second)
	y.latency = nil
	y.load(load, 20*time.Second)
	out.after = y.p99()
	out.partial = y.partial
	return out
}

// Guards against a slow searcher that determines the response time of every
// query, at the targets of the load policy. The home is in the failure domain
// of s03-1.
func TestTailWithSlowSearcher(t *testing.T) {
	for _, c := range []struct {
		load, bound float64
		slow        string
	}{{0.3, 1.5, "s03-0"}, {0.3, 1.5, "s03-1"}, {0.4, 2, "s03-0"}} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%g/%s/%d", c.load, c.slow, seed), func(t *testing.T) {
				t.Parallel()
				got := runTail(catalogue.Current, c.load, c.slow, seed)
				t.Logf("%+v, ratio %.2f", got, float64(got.slow)/float64(got.calm))
				if float64(got.slow) > c.bound*float64(got.calm) {
					t.Errorf("p99 %v with a slow searcher, %v without", got.slow, got.calm)
				}
				if float64(got.after) > 1.2*float64(got.calm) {
					t.Errorf("p99 %v after recovery, %v before the fault", got.after, got.calm)
				}
				if got.partial > 0 {
					t.Errorf("%d partial answers", got.partial)
				}
				if got.extra > 0.05 {
					t.Errorf("%.3f extra sub-requests", got.extra)
				}
			})
		}
	}
}

// Guards against a comparison with a baseline that is not worse, which would
// show that the fakes do not produce the fault.
func TestTailOfBaseline(t *testing.T) {
	t.Parallel()
	got := runTail(catalogue.Baseline, 0.3, "s03-0", 0)
	t.Logf("%+v, ratio %.2f", got, float64(got.slow)/float64(got.calm))
	if float64(got.slow) < 2*float64(got.calm) {
		t.Errorf("p99 %v with a slow searcher, %v without", got.slow, got.calm)
	}
}
