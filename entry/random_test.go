package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// Guards against an answer that mixes snapshots, misstates its coverage, comes
// after its deadline, or is called "not run" though a searcher ran it, while
// snapshots and partition maps change and replies are late, lost, duplicated,
// reordered or wrongly labelled.
func TestRandomisedAnswersEqualTheReference(t *testing.T) {
	var total tally
	restarts := meter.Value("entry.retried.snapshot_gone")
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, seed)
			stop := make(chan struct{})
			go w.publish(stop)
			total.add(w.queries(50))
			close(stop)
			time.Sleep(5 * time.Second) // Late calls end.
		})
	}
	restarts = meter.Value("entry.retried.snapshot_gone") - restarts
	t.Logf("%d complete, %d partial, %d refused, %d restarts", total.complete, total.partial, total.refused, restarts)
	if total.complete == 0 || total.partial == 0 || total.refused == 0 || restarts == 0 {
		t.Errorf("run did not reach all kinds of answer: %+v, %d restarts", total, restarts)
	}
}

type tally struct{ complete, partial, refused int }

func (a *tally) add(b tally) {
	a.complete, a.partial, a.refused = a.complete+b.complete, a.partial+b.partial, a.refused+b.refused
}

// publish moves the groups one by one to new snapshots and maps.
func (w *world) publish(stop chan struct{}) {
	for snapshot, mapID := uint64(1), "m0"; ; {
		if w.random(2) == 0 {
			snapshot++
		} else if mapID == "m0" {
			mapID = "m1"
		} else {
			mapID = "m0"
		}
		for i := range worldShards {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(w.random(60)) * time.Millisecond):
			}
			w.mu.Lock()
			g := groupID(i)
			w.held[g] = append([]shard.Label{label(i, snapshot, mapID)}, w.held[g]...)
			w.held[g] = w.held[g][:min(2, len(w.held[g]))]
			w.mu.Unlock()
		}
	}
}

func (w *world) queries(n int) tally {
	var sum tally
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Duration(w.random(25)) * time.Millisecond)
		q := Query{
			id: fmt.Sprintf("q%d", i), owner: "o", class: catalogue.Interactive, service: "songs", route: "r",
			deadline: time.Duration(20+w.random(250)) * time.Millisecond, limit: 1 + w.random(20),
		}
		wg.Go(func() {
			began := time.Now()
			a, err := w.e.Search(context.Background(), q, w.clk.Boot())
			if took := time.Since(began); took > q.deadline {
				w.t.Errorf("%s took %v of %v", q.id, took, q.deadline)
			}
			mu.Lock()
			defer mu.Unlock()
			sum.add(w.check(q, a, err))
		})
	}
	wg.Wait()
	return sum
}

func (w *world) check(q Query, a *Answer, err error) tally {
	if err != nil {
		var e *refusal.Error
		if !errors.As(err, &e) {
			w.t.Errorf("%s: error %v is not a refusal", q.id, err)
			return tally{}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if e.Ran() == refusal.NotRun && w.ran[q.id] {
			w.t.Errorf("%s is called not run but ran: %v", q.id, err)
		}
		return tally{refused: 1}
	}
	var hits []merged
	var docs uint64
	for i := range worldShards {
		name := fmt.Sprintf("s%d", i)
		if slices.ContainsFunc(a.missing, func(m missing) bool { return m.shard == name }) {
			continue
		}
		l := label(i, a.target.snapshot, a.target.mapID)
		docs += l.Documents()
		for _, h := range documents(l.Snapshot(), l.Low(), l.High()) {
			hits = append(hits, merged{Hit: h, shard: name})
		}
	}
	slices.SortFunc(hits, compareHits)
	hits = hits[:min(q.limit, len(hits))]
	same := slices.EqualFunc(hits, a.hits, func(x, y merged) bool {
		return x.ID() == y.ID() && x.Score() == y.Score() && x.shard == y.shard
	})
	if !same {
		w.t.Errorf("%s: hits differ from those of snapshot %v without %v", q.id, a.target, a.missing)
	}
	if want := label(0, a.target.snapshot, a.target.mapID).Total(); a.documents != docs || a.target.total != want {
		w.t.Errorf("%s: coverage %d of %d, want %d of %d", q.id, a.documents, a.target.total, docs, want)
	}
	if len(a.missing) > 0 {
		return tally{partial: 1}
	}
	return tally{complete: 1}
}
