package home

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// newErrorFixture returns a fixture whose searchers have served a load and then
// fail a fraction of their requests: errors[j] for replica j of each shard.
func newErrorFixture(seed uint64, errors ...float64) *fixture {
	fx := newFixture(fixtureSpec{seed: seed, shards: 4, replicas: 2, slots: 2, daemons: 1, policy: catalogue.Current})
	fx.clk.run(time.Second)
	fx.load(0.3, 10*time.Second)
	fx.latency, fx.kinds = nil, make(map[refusal.Kind]int)
	for _, f := range fx.fakes {
		for j, fraction := range errors {
			if f.spec.Name()[4:] == string(rune('0'+j)) {
				f.errors = fraction
			}
		}
	}
	return fx
}

// Guards against errors of one failure domain that use up the extra budget, so
// that most queries wait for a retry until their deadline and return incomplete
// answers.
func TestErrorsOfOneDomain(t *testing.T) {
	for seed := range uint64(2) {
		fx := newErrorFixture(seed, 0.2, 0)
		fx.load(0.3, 20*time.Second)
		fx.clk.run(time.Second)
		full := float64(len(fx.latency)) / float64(len(fx.latency)+fx.partial)
		slices.Sort(fx.latency)
		p95 := fx.latency[len(fx.latency)*95/100]
		t.Logf("seed %d: full coverage %.4f, p95 %v, results %v", seed, full, p95, fx.kinds)
		if full < 0.98 || p95 > 100*time.Millisecond {
			t.Errorf("seed %d: full coverage %.3f, p95 %v", seed, full, p95)
		}
		// Replica 0 failed before; the last digit of a name is the replica.
		failing, healthy := 0, 0
		for _, f := range fx.fakes {
			f.errors = 0
			failing -= f.ran * int('1'-f.spec.Name()[4])
			healthy -= f.ran * int(f.spec.Name()[4]-'0')
		}
		fx.load(0.3, 30*time.Second)
		for _, f := range fx.fakes {
			failing += f.ran * int('1'-f.spec.Name()[4])
			healthy += f.ran * int(f.spec.Name()[4]-'0')
		}
		if failing < healthy/3 {
			t.Errorf("seed %d: %d requests ran on the searchers that failed before, %d on the others", seed, failing, healthy)
		}
	}
}

// Guards against a task that waits for a retry token until its deadline and is
// then refused for the deadline instead of the error of its last attempt.
func TestRetryWithoutToken(t *testing.T) {
	fx := newErrorFixture(1, 0.5, 0.5)
	var slowest time.Duration
	refused := 0
	for range 400 {
		start := fx.clk.now
		fx.send(0, shard.RequestSpec{ID: "q", Idempotent: true}, func(r shard.Result) {
			if r.Kind() == refusal.None {
				return
			}
			refused++
			slowest = max(slowest, fx.clk.now-start)
			if r.Kind() != refusal.SearcherFailed || r.Ran() != refusal.Unknown {
				t.Errorf("refused as %s, ran %s", r.Kind(), r.Ran())
			}
		})
		fx.clk.run(50 * time.Millisecond)
	}
	if refused == 0 || slowest > 500*time.Millisecond {
		t.Errorf("%d refusals, the slowest after %v of a deadline of 1s", refused, slowest)
	}
}

// Guards against homes that spend the entries' part of the extra budget, so
// that homes and entries together exceed it.
func TestExtraBudgetOfHomes(t *testing.T) {
	fx := newErrorFixture(1, 0.5, 0.5)
	subs, extra := fx.budgetTotals()
	fx.load(0.3, 20*time.Second)
	fx.apply() // Installs the budget of the catalogue again.
	fx.load(0.3, 20*time.Second)
	after, spent := fx.budgetTotals()
	// Tokens that were saved before may be spent once.
	if got, allowed := spent-extra, 0.8*0.05*float64(after-subs)+maxTokens; float64(got) > allowed || got == 0 {
		t.Errorf("%d extra requests, the homes' part is %g", got, allowed)
	}
}

// Guards against a late second copy of a refusal that is taken for the reply to
// another send of the same request, because both have the same ID (REFUSED).
func TestSendsShareID(t *testing.T) {
	fx := newTwoReplicas(1, func(*fixture) {})
	for _, name := range fx.names {
		fx.fakes[name].errors = 0.6
	}
	for i := range 300 {
		fx.send(0, shard.RequestSpec{ID: fmt.Sprint("q", i), Idempotent: true}, func(shard.Result) {})
		fx.clk.run(10 * time.Millisecond)
	}
	sends := make(map[string]int)
	for _, name := range fx.names {
		for id, n := range fx.fakes[name].ids {
			sends[id] += n
		}
	}
	for id, n := range sends {
		if n > 1 {
			t.Errorf("%d calls have the ID %s", n, id)
		}
	}
	if len(sends) <= 300 {
		t.Errorf("%d sends of 300 requests, want more", len(sends))
	}
}
