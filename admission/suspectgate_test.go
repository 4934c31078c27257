package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// bubbleClock is a clock.Clock on the fake time of testing/synctest.
type bubbleClock struct {
	clock.System
	start time.Time
}

func (b bubbleClock) Boot() time.Duration { return time.Hour + time.Since(b.start) }

const (
	poison = 7
	good   = 8
)

// Guards against a request that crashes searchers more than twice over all
// daemons while callers resend it to any of them, against a fingerprint that is
// refused forever, and against refusals of other requests.
func TestPoisonCrashBound(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) { runPoison(t, rand.New(rand.NewPCG(seed, 3))) })
	}
}

func runPoison(t *testing.T, rng *rand.Rand) {
	clk := bubbleClock{start: time.Now()}
	crashes, refused := 0, 0
	daemons := make([]*Suspects, 3)
	for i := range daemons {
		daemons[i] = NewSuspects(clk, func(strikes []*peerpb.CrashStrike) {
			go func() {
				time.Sleep(time.Millisecond) // Delay of the call to the other daemons.
				for _, d := range daemons {
					d.Merge(strikes)
				}
			}()
		})
	}
	// One daemon is home of the group; any daemon may be the entry.
	home := NewSuspectGate(daemons[0], func(_ context.Context, r shard.Request) shard.Result {
		time.Sleep(5 * time.Millisecond)
		spec := shard.ResultSpec{Ran: refusal.DidRun}
		if r.Fingerprint() == poison {
			crashes++
			spec.Kind, spec.Crashed = refusal.SearcherFailed, true
		}
		return shard.NewResult(spec)
	})
	send := func(id int, fingerprint uint64) shard.Result {
		entry := daemons[rng.IntN(len(daemons))]
		known := entry.Crashes(fingerprint)
		if known >= secondCrash {
			return shard.NewResult(shard.ResultSpec{Kind: refusal.Poisoned, Ran: refusal.NotRun})
		}
		return home.Do(context.Background(), shard.NewRequest(shard.RequestSpec{
			ID: fmt.Sprint(id), Fingerprint: fingerprint, Suspect: known == firstCrash, Idempotent: true,
		}))
	}
	for id := range 100 {
		if r := send(id, good); r.Kind() != refusal.None {
			t.Errorf("good request is refused: %v", r)
		}
		if r := send(id, poison); r.Kind() == refusal.Poisoned {
			refused++
			if r.Ran() != refusal.NotRun {
				t.Errorf("refusal says ran %s", r.Ran())
			}
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
	if crashes > secondCrash || refused == 0 {
		t.Errorf("%d crashes, %d refusals", crashes, refused)
	}
	time.Sleep(strikeTTL)
	if r := send(100, poison); r.Kind() == refusal.Poisoned {
		t.Error("fingerprint is still refused after strikeTTL")
	}
	time.Sleep(time.Second)
}

// Guards against resends that crash searchers at the homes of other daemons
// after the strike has reached these, and against more than two crashes at a
// daemon that receives no strikes.
func TestSequentialResendsToDifferentDaemons(t *testing.T) {
	const count, spreadTime = 5, time.Millisecond
	for _, test := range []struct {
		name      string
		delivered bool
		bound     int
	}{
		{"strikes arrive before the resend", true, secondCrash},
		{"no strike arrives", false, count * secondCrash},
	} {
		synctest.Test(t, func(t *testing.T) {
			clk := bubbleClock{start: time.Now()}
			crashes, refused := 0, 0
			daemons, homes := make([]*Suspects, count), make([]*SuspectGate, count)
			for i := range daemons {
				daemons[i] = NewSuspects(clk, func(strikes []*peerpb.CrashStrike) {
					go func() {
						time.Sleep(spreadTime)
						for _, d := range daemons {
							if test.delivered {
								d.Merge(strikes)
							}
						}
					}()
				})
				homes[i] = NewSuspectGate(daemons[i], func(context.Context, shard.Request) shard.Result {
					crashes++
					return shard.NewResult(shard.ResultSpec{Kind: refusal.SearcherFailed, Ran: refusal.DidRun, Crashed: true})
				})
			}
			for id := range 10 * count {
				i := id % count
				known := daemons[i].Crashes(poison)
				r := homes[i].Do(context.Background(), shard.NewRequest(shard.RequestSpec{
					ID: fmt.Sprint(id), Fingerprint: poison, Suspect: known == firstCrash, Idempotent: true,
				}))
				if r.Kind() == refusal.Poisoned {
					refused++
				}
				time.Sleep(2 * spreadTime)
			}
			if crashes != test.bound || refused != 10*count-crashes {
				t.Errorf("%s: %d crashes, %d refusals, the bound is %d", test.name, crashes, refused, test.bound)
			}
		})
	}
}

// Guards against two queries of one suspect at the same time, and against a
// suspect fan-out that is refused because of its own other shards.
func TestSuspectGateConcurrentQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSuspects(bubbleClock{start: time.Now()}, func([]*peerpb.CrashStrike) {})
		s.RecordCrash(poison)
		home := NewSuspectGate(s, func(context.Context, shard.Request) shard.Result {
			time.Sleep(time.Second)
			return shard.NewResult(shard.ResultSpec{Ran: refusal.DidRun})
		})
		send := func(id string) shard.Result {
			return home.Do(context.Background(), shard.NewRequest(shard.RequestSpec{ID: id, Fingerprint: poison, Suspect: true}))
		}
		results := make([]shard.Result, 2)
		for i := range results {
			go func() { results[i] = send("a") }()
		}
		synctest.Wait()
		if r := send("b"); r.Kind() != refusal.Overloaded || r.Ran() != refusal.NotRun {
			t.Errorf("second query of the suspect: %v", r)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for _, r := range results {
			if r.Kind() != refusal.None {
				t.Errorf("shard of the same query: %v", r)
			}
		}
		if r := send("b"); r.Kind() != refusal.None {
			t.Errorf("query after the first has ended: %v", r)
		}
	})
}

// Guards against a table that grows without bound when many strikes arrive.
func TestSuspectsBound(t *testing.T) {
	s := NewSuspects(bubbleClock{start: time.Now()}, func([]*peerpb.CrashStrike) {})
	for f := range uint64(maxSuspects + 100) {
		s.Merge([]*peerpb.CrashStrike{{Fingerprint: f, Crashes: 9, AgeMs: 1}})
	}
	if n := len(s.CrashReports(1 << 30)); n != maxSuspects {
		t.Errorf("%d suspects, the bound is %d", n, maxSuspects)
	}
}
