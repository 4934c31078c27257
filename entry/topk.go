package entry

import (
	"cmp"
	"slices"

	"medlaryard.example/medlaryard/meter"
)

// topK collects the best hits in the order of compareHits, each document once. The
// hits form a heap.
type topK struct {
	limit int
	heap  []shardHit // The worst hit is first.
	ids   map[string]struct{}
}

func newTopK(limit int) *topK {
	return &topK{limit: limit, heap: make([]shardHit, 0, limit), ids: make(map[string]struct{}, limit)}
}

// add adds a hit if it is among the best. If two shards return the same document,
// it keeps the hit that compareHits ranks first.
func (t *topK) add(h shardHit) {
	if len(t.heap) == t.limit && (t.limit == 0 || compareHits(h, t.heap[0]) >= 0) {
		return
	}
	if _, ok := t.ids[h.ID()]; ok {
		t.replace(h)
		return
	}
	if len(t.heap) < t.limit {
		t.heap = append(t.heap, h)
		t.ids[h.ID()] = struct{}{}
		t.siftUp(len(t.heap) - 1)
		return
	}
	delete(t.ids, t.heap[0].ID())
	t.ids[h.ID()] = struct{}{}
	t.heap[0] = h
	t.siftDown(0)
}

func (t *topK) replace(h shardHit) {
	meter.Count("entry.hit.duplicate", 1)
	for i := range t.heap {
		if t.heap[i].ID() == h.ID() {
			if compareHits(h, t.heap[i]) < 0 {
				t.heap[i] = h
				t.siftDown(i)
			}
			return
		}
	}
}

// sorted returns the hits, best first. The topK must not be used afterwards.
func (t *topK) sorted() []shardHit {
	slices.SortFunc(t.heap, compareHits)
	return t.heap
}

func (t *topK) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compareHits(t.heap[i], t.heap[parent]) <= 0 {
			return
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

func (t *topK) siftDown(i int) {
	for {
		worst := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(t.heap); c++ {
			if compareHits(t.heap[c], t.heap[worst]) > 0 {
				worst = c
			}
		}
		if worst == i {
			return
		}
		t.heap[i], t.heap[worst] = t.heap[worst], t.heap[i]
		i = worst
	}
}

// compareHits orders hits by descending score, then by identifier, then by shard.
// The order does not depend on the order of arrival.
func compareHits(a, b shardHit) int {
	return cmp.Or(
		cmp.Compare(b.Score(), a.Score()),
		cmp.Compare(a.ID(), b.ID()),
		cmp.Compare(a.shard, b.shard),
	)
}
