package query_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/query"
	"medlaryard.example/medlaryard/standin/shards"
)

// sound is a target like those of the smaller deployment: 2 slots, 11 ms of
// work, pauses of 120 ms in each 3 s.
func sound(opts ...shards.Option) shards.Behaviour {
	opts = append([]shards.Option{
		shards.Slots(2), shards.Spread(0.35), shards.MaxConnections(26), shards.Handshake(6 * time.Millisecond),
	}, opts...)
	return shards.NewBehaviour(11*time.Millisecond, opts...)
}

// objective is that of the routes in these tests.
const objective = 100 * time.Millisecond

// recordSize is the size of one record in bytes.
const recordSize = 16

// Guards against answers that miss their objective because one of many targets
// pauses at any moment.
func TestPausesDoNotDelayAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 20, sound(shards.Pauses(120*time.Millisecond, 3*time.Second)))
		defer w.close()
		replies := w.load(15, 20*time.Second)
		inTime, coverage := served(replies, objective)
		if inTime < 0.99 || coverage < 0.99 {
			t.Errorf("%.4f in time with %.4f of the parts, want 0.99 of both", inTime, coverage)
		}
		if extra := w.extra(len(replies)); extra > 0.2 {
			t.Errorf("%.3f extra sends for each request, the bound is 0.2", extra)
		}
	})
}

// Guards against slow targets that set the pace of every answer, and against
// targets that get no work after they have recovered.
func TestSlowTargetsAreAvoidedAndUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 20, sound())
		defer w.close()
		w.load(15, 3*time.Second)
		for i := range 3 {
			w.targets[fmt.Sprintf("shard%d", i)][0].SetBehaviour(sound(shards.Slow(9)))
		}
		inTime, coverage := served(w.load(15, 8*time.Second), objective)
		if inTime < 0.97 || coverage < 0.99 {
			t.Errorf("while slow: %.4f in time with %.4f of the parts, want 0.97 and 0.99", inTime, coverage)
		}
		for i := range 3 {
			w.targets[fmt.Sprintf("shard%d", i)][0].SetBehaviour(sound())
		}
		w.load(15, 3*time.Second)
		before := len(w.targets["shard0"][0].Runs())
		w.load(15, 6*time.Second)
		if after := len(w.targets["shard0"][0].Runs()); after-before < 15 {
			t.Errorf("recovered target got %d of 90 requests, want 15 or more", after-before)
		}
	})
}

// Guards against waiting for a shard without any target, and against a success
// that hides how much is missing.
func TestShardWithoutTargetsIsLeftOut(t *testing.T) {
	for name, b := range map[string]shards.Option{"down": shards.Down(), "dark": shards.Blackhole()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, 20, sound())
				defer w.close()
				w.load(15, 2*time.Second)
				for _, tgt := range w.targets["shard7"] {
					tgt.SetBehaviour(sound(b))
				}
				replies := w.load(15, 4*time.Second)
				inTime, _ := served(replies, objective)
				if inTime < 0.99 {
					t.Errorf("%.4f in time, want 0.99", inTime)
				}
				for _, r := range replies {
					if m := r.answer.Merged(); m != nil && r.at > time.Second && (m.Missing() != 1 || r.parts != 19) {
						t.Errorf("answer at %v has %d parts and misses %d, want 19 and 1", r.at, r.parts, m.Missing())
					}
				}
			})
		})
	}
}

// Guards against requests that all wait for the same slow shards, whose targets
// then answer none of them, although a few of these parts would do for each. Four
// of 20 shards have only targets that take twelve times as long; 18 parts are
// needed. A daemon sends slow targets one request at a time, so the four shards
// serve it 60 parts a second: 40 of the 80 that could be asked of them suffice.
func TestSlowShardsAreSharedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12, 20, sound())
		defer w.close()
		w.load(20, 3*time.Second)
		for i := range 4 {
			for _, tgt := range w.targets[fmt.Sprintf("shard%d", i)] {
				tgt.SetBehaviour(sound(shards.Slow(12)))
			}
		}
		w.load(20, 2*time.Second)
		replies := w.load(20, 8*time.Second)
		answered, _ := served(replies, 1500*time.Millisecond)
		if answered < 0.95 {
			t.Errorf("%.3f of the requests were answered, want 0.95", answered)
		}
		if median := medianTook(replies); median > 400*time.Millisecond {
			t.Errorf("the median answer took %v, want 400ms at most", median)
		}
	})
}

// medianTook returns the median time until an answer or refusal.
func medianTook(replies []reply) time.Duration {
	took := make([]time.Duration, len(replies))
	for i, r := range replies {
		took[i] = r.took
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// Guards against holding requests that cannot be answered, and against a
// refusal that claims nothing ran although parts did.
func TestTooManyShardsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, 20, sound())
		defer w.close()
		for i := range 5 {
			for _, tgt := range w.targets[fmt.Sprintf("shard%d", i)] {
				tgt.SetBehaviour(sound(shards.Down()))
			}
		}
		w.load(20, time.Second)
		before := len(w.targets["shard9"][0].Runs()) + len(w.targets["shard9"][1].Runs())
		for i := range 10 {
			r := w.ask(context.Background(), fmt.Sprintf("late%d", i))
			if f := r.answer.Refusal(); f == nil || f.Kind() != "no_searcher" || r.answer.RetryAfter() == 0 {
				t.Errorf("refusal %v with retry after %v, want no_searcher with a time", f, r.answer.RetryAfter())
			}
			if r.took > 5*time.Millisecond {
				t.Errorf("refused after %v, want at once", r.took)
			}
		}
		after := len(w.targets["shard9"][0].Runs()) + len(w.targets["shard9"][1].Runs())
		if after != before {
			t.Errorf("%d requests ran that were refused as not run", after-before)
		}
	})
}

// Guards against parts of another request, lost parts that are made up and
// records out of order, while targets fail, lose and double their answers.
func TestAnswersAreWholeAndTheirOwn(t *testing.T) {
	for seed := range int64(4) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, seed, 6, sound())
			defer w.close()
			for i := range 6 {
				ts := w.targets[fmt.Sprintf("shard%d", i)]
				ts[0].SetBehaviour(sound(shards.Failing(0.2), shards.DroppingReplies(0.1), shards.Duplicating(0.2)))
				ts[1].SetBehaviour(sound(shards.Shedding(0.2), shards.Duplicating(0.2)))
			}
			for i := range 200 {
				id := fmt.Sprintf("q%d", i)
				r := w.ask(context.Background(), id)
				m := r.answer.Merged()
				if m == nil {
					continue
				}
				checkMerged(t, id, m, 6)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// checkMerged compares an answer with the records of the parts that it names.
func checkMerged(t *testing.T, id string, m *query.Merged, count int) {
	t.Helper()
	if len(m.Stamps())+m.Missing() != count {
		t.Errorf("%s: %d parts and %d missing do not make %d", id, len(m.Stamps()), m.Missing(), count)
	}
	var all [][]byte
	seen := make(map[string]bool)
	for _, stamp := range m.Stamps() {
		var shard, replica int
		var of string
		if _, err := fmt.Sscanf(stamp, "shard%d-%d.%s", &shard, &replica, &of); err != nil || of != id {
			t.Fatalf("%s: signature %q is not of this request", id, stamp)
		}
		if key := fmt.Sprint(shard); seen[key] {
			t.Errorf("%s: two parts of shard %d", id, shard)
		} else {
			seen[key] = true
		}
		part := shards.Records(fmt.Sprintf("shard%d-%d", shard, replica), "/match/"+id)
		for len(part) > 0 {
			all = append(all, part[:recordSize])
			part = part[recordSize:]
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	want := bytes.Join(all[:min(50, len(all))], nil)
	if !bytes.Equal(want, m.Records()) {
		t.Errorf("%s: records are not the greatest of the parts, falling", id)
	}
}

// Guards against extra sends beyond the budget while every target is slow, when
// each of them makes all others slower.
func TestBudgetBoundsExtraSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5, 4, sound())
		defer w.close()
		for _, ts := range w.targets {
			for _, tgt := range ts {
				tgt.SetBehaviour(sound(shards.Failing(0.5), shards.Shedding(0.3)))
			}
		}
		replies := w.load(40, 10*time.Second)
		// The ratio for each request and the slack of one window of 10 s.
		limit := 0.2 + 54/float64(len(replies))
		if extra := w.extra(len(replies)); extra > limit {
			t.Errorf("%.3f extra sends for each request, the bound is %.3f", extra, limit)
		}
	})
}

// Guards against more connections than this daemon's share.
func TestConnectionsStayWithinTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, 4, sound(shards.Pauses(120*time.Millisecond, time.Second)))
		defer w.close()
		w.load(100, 5*time.Second)
		for name, ts := range w.targets {
			for _, tgt := range ts {
				if n := tgt.PeakConnections(); n > 3 {
					t.Errorf("a target of %s had %d connections, the share is 3", name, n)
				}
			}
		}
	})
}

// Guards against targets that work on for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 7, 4, sound())
		defer w.close()
		for _, ts := range w.targets {
			for _, tgt := range ts {
				tgt.SetBehaviour(sound(shards.Silent()))
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		r := w.ask(ctx, "left")
		if f := r.answer.Refusal(); f == nil || f.Kind() != "cancelled" || r.took > 31*time.Millisecond {
			t.Errorf("refusal %v after %v, want cancelled when the caller left", f, r.took)
		}
		time.Sleep(500 * time.Millisecond)
		for name, g := range w.groups {
			if n := g.InFlight(); n != 0 {
				t.Errorf("%s still has %d requests half a second later", name, n)
			}
		}
	})
}

// Guards against budget that is earned more than once by a request whose shard
// has no target for a while.
func TestRequestsEarnBudgetOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 8, 20, sound())
		defer w.close()
		g := w.groups["shard0"]
		g.Update(nil)
		for _, tgt := range w.targets["shard1"] {
			tgt.SetBehaviour(sound(shards.Silent())) // The answer waits until the objective.
		}
		before := g.Budget()
		w.ask(context.Background(), "q")
		if earned := g.Budget() - before; earned > 0.2 {
			t.Errorf("one request earned %.2f extra sends, the ratio is 0.2", earned)
		}
	})
}

// Guards against a request that crashes every target that runs it, sent again
// and again by its caller until no target is left.
func TestPoisonRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 9, 4, sound(shards.Crashing("poison")))
		defer w.close()
		crashes := func() int {
			n := 0
			for _, ts := range w.targets {
				for _, tgt := range ts {
					n += tgt.Crashes()
				}
			}
			return n
		}
		w.ask(context.Background(), "poison")
		first := crashes()
		for range 20 {
			time.Sleep(4 * time.Second) // The crashed targets are back.
			w.ask(context.Background(), "poison")
		}
		if again := crashes() - first; again > 1 {
			t.Errorf("the repeated request crashed %d more targets, want 1", again)
		}
		r := w.ask(context.Background(), "poison")
		if f := r.answer.Refusal(); f == nil || f.Kind() != "poisoned" {
			t.Errorf("refusal %v, want poisoned", f)
		}
		if r := w.ask(context.Background(), "other"); r.parts != 4 {
			t.Errorf("another request has %d parts, want 4", r.parts)
		}
	})
}

// Guards against requests that are refused because they were under way when
// targets crashed for another reason.
func TestBystandersOfACrashAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 10, 4, sound())
		defer w.close()
		for range 5 {
			time.AfterFunc(5*time.Millisecond, func() {
				for _, ts := range w.targets {
					ts[0].SetBehaviour(sound(shards.Down()))
				}
			})
			w.ask(context.Background(), "bystander")
			time.Sleep(time.Second)
			for _, ts := range w.targets {
				ts[0].SetBehaviour(sound())
			}
			time.Sleep(2 * time.Second)
			if r := w.ask(context.Background(), "bystander"); r.parts != 4 {
				t.Errorf("%d parts after the targets are back, refusal %v; want 4", r.parts, r.answer.Refusal())
			}
		}
	})
}
