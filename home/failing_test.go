package home

import (
	"slices"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

func newFailing(seed uint64, errors ...float64) *fixture {
	y := newFixture(fixtureSpec{seed: seed, shards: 4, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current})
	y.c.run(time.Second)
	y.load(0.3, 10*time.Second)
	y.latency, y.kinds = nil, make(map[refusal.Kind]int)
	for _, f := range y.fakes {
		for j, part := range errors {
			if f.spec.Name()[4:] == string(rune('0'+j)) {
				f.errors = part
			}
		}
	}
	return y
}

// Guards against a failure domain with errors that uses up the budget, so that
// most queries wait for a retry until their deadline and stay incomplete.
func TestErrorsOfOneDomain(t *testing.T) {
	for seed := range uint64(2) {
		y := newFailing(seed, 0.2, 0)
		y.load(0.3, 20*time.Second)
		y.c.run(time.Second)
		full := float64(len(y.latency)) / float64(len(y.latency)+y.partial)
		slices.Sort(y.latency)
		p95 := y.latency[len(y.latency)*95/100]
		t.Logf("seed %d: full coverage %.4f, p95 %v, results %v", seed, full, p95, y.kinds)
		if full < 0.98 || p95 > 100*time.Millisecond {
			t.Errorf("seed %d: full coverage %.3f, p95 %v", seed, full, p95)
		}
		bad, sound := 0, 0
		for _, f := range y.fakes {
			f.errors = 0
			bad -= f.ran * int('1'-f.spec.Name()[4])
			sound -= f.ran * int(f.spec.Name()[4]-'0')
		}
		y.load(0.3, 30*time.Second)
		for _, f := range y.fakes {
			bad += f.ran * int('1'-f.spec.Name()[4])
			sound += f.ran * int(f.spec.Name()[4]-'0')
		}
		if bad < sound/3 {
			t.Errorf("seed %d: %d requests ran on the searchers that failed before, %d on the others", seed, bad, sound)
		}
	}
}

// Guards against results that come at the deadline for want of a token, with
// the deadline as their reason.
func TestWithoutTokenIsAnsweredEarly(t *testing.T) {
	y := newFailing(1, 0.5, 0.5)
	var slowest time.Duration
	early := 0
	for range 400 {
		start := y.c.now
		y.send(0, shard.RequestSpec{ID: "q", Idempotent: true}, func(r shard.Result) {
			if r.Kind() == refusal.None {
				return
			}
			early++
			slowest = max(slowest, y.c.now-start)
			if r.Kind() != refusal.SearcherFailed || r.Ran() != refusal.Unknown {
				t.Errorf("refused as %s, ran %s", r.Kind(), r.Ran())
			}
		})
		y.c.run(50 * time.Millisecond)
	}
	if early == 0 || slowest > 500*time.Millisecond {
		t.Errorf("%d refusals, the last after %v of 1s", early, slowest)
	}
}

// Guards against homes that spend the entries' part of the extra budget, so
// that both together exceed it.
func TestHomesLeaveEntriesTheirPart(t *testing.T) {
	y := newFailing(1, 0.5, 0.5)
	subs, extra := y.counts()
	y.load(0.3, 20*time.Second)
	y.apply() // Installs the budget of the catalogue again.
	y.load(0.3, 20*time.Second)
	after, spent := y.counts()
	// What was saved up before is spent once.
	if got, most := spent-extra, 0.8*0.05*float64(after-subs)+maxTokens; float64(got) > most || got == 0 {
		t.Errorf("%d extra requests, %g are the homes' part", got, most)
	}
}
