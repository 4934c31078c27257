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

// Guards against an answer that mixes snapshots, has a wrong coverage or is late, and
// against a refusal "not run" of a query that ran. Snapshots and partition maps change,
// and replies are late, lost, duplicated, reordered or wrongly labelled.
func TestRandomisedAnswersEqualTheReference(t *testing.T) {
	var total answerCounts
	restarts := meter.CounterValue("entry.retried.snapshot_gone")
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeCluster(t, seed)
			stop := make(chan struct{})
			go c.publish(stop)
			total.add(c.runQueries(50))
			close(stop)
			time.Sleep(5 * time.Second) // Lets late calls finish.
		})
	}
	restarts = meter.CounterValue("entry.retried.snapshot_gone") - restarts
	t.Logf("%d complete, %d partial, %d refused, %d restarts", total.complete, total.partial, total.refused, restarts)
	if total.complete == 0 || total.partial == 0 || total.refused == 0 || restarts == 0 {
		t.Errorf("run did not produce all kinds of answer: %+v, %d restarts", total, restarts)
	}
}

type answerCounts struct{ complete, partial, refused int }

func (a *answerCounts) add(b answerCounts) {
	a.complete, a.partial, a.refused = a.complete+b.complete, a.partial+b.partial, a.refused+b.refused
}

// publish moves the groups one by one to new snapshots and partition maps until
// stop is closed.
func (c *fakeCluster) publish(stop chan struct{}) {
	for snapshot, mapID := uint64(1), "m0"; ; {
		if c.random(2) == 0 {
			snapshot++
		} else if mapID == "m0" {
			mapID = "m1"
		} else {
			mapID = "m0"
		}
		for i := range testShards {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(c.random(60)) * time.Millisecond):
			}
			c.mu.Lock()
			g := groupID(i)
			c.groupLabels[g] = append([]shard.Label{testLabel(i, snapshot, mapID)}, c.groupLabels[g]...)
			c.groupLabels[g] = c.groupLabels[g][:min(2, len(c.groupLabels[g]))]
			c.mu.Unlock()
		}
	}
}

func (c *fakeCluster) runQueries(n int) answerCounts {
	var sum answerCounts
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Duration(c.random(25)) * time.Millisecond)
		q := Query{
			id: fmt.Sprintf("q%d", i), owner: "o", class: catalogue.Interactive, service: "songs", route: "r",
			deadline: time.Duration(20+c.random(250)) * time.Millisecond, limit: 1 + c.random(20),
		}
		wg.Go(func() {
			began := time.Now()
			a, err := c.e.Search(context.Background(), q, c.clk.Boot())
			if took := time.Since(began); took > q.deadline {
				c.t.Errorf("%s took %v of %v", q.id, took, q.deadline)
			}
			mu.Lock()
			defer mu.Unlock()
			sum.add(c.checkAnswer(q, a, err))
		})
	}
	wg.Wait()
	return sum
}

func (c *fakeCluster) checkAnswer(q Query, a *Answer, err error) answerCounts {
	if err != nil {
		var e *refusal.Error
		if !errors.As(err, &e) {
			c.t.Errorf("%s: error %v is not a refusal", q.id, err)
			return answerCounts{}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if e.Ran() == refusal.NotRun && c.ran[q.id] {
			c.t.Errorf("%s has the outcome \"not run\" but ran: %v", q.id, err)
		}
		return answerCounts{refused: 1}
	}
	var hits []shardHit
	var docs uint64
	for i := range testShards {
		name := fmt.Sprintf("s%d", i)
		if slices.ContainsFunc(a.missing, func(m missingShard) bool { return m.shard == name }) {
			continue
		}
		l := testLabel(i, a.version.snapshot, a.version.mapID)
		docs += l.Documents()
		for _, h := range documents(l.Snapshot(), l.Low(), l.High()) {
			hits = append(hits, shardHit{Hit: h, shard: name})
		}
	}
	slices.SortFunc(hits, compareHits)
	hits = hits[:min(q.limit, len(hits))]
	same := slices.EqualFunc(hits, a.hits, func(x, y shardHit) bool {
		return x.ID() == y.ID() && x.Score() == y.Score() && x.shard == y.shard
	})
	if !same {
		c.t.Errorf("%s: hits differ from those of index version %v without the shards %v", q.id, a.version, a.missing)
	}
	if want := testLabel(0, a.version.snapshot, a.version.mapID).Total(); a.documents != docs || a.version.total != want {
		c.t.Errorf("%s: coverage %d of %d, want %d of %d", q.id, a.documents, a.version.total, docs, want)
	}
	if len(a.missing) > 0 {
		return answerCounts{partial: 1}
	}
	return answerCounts{complete: 1}
}
