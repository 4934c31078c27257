package entry

import (
	"cmp"
	"slices"

	"medlaryard.example/medlaryard/meter"
)

// topK keeps the best hits seen, by score and then by identifier.
type topK struct {
	limit int
	heap  []merged // The worst kept hit is first.
	ids   map[string]struct{}
}

func newTopK(limit int) *topK {
	return &topK{limit: limit, heap: make([]merged, 0, limit), ids: make(map[string]struct{}, limit)}
}

// add offers a hit. A document that two shards return is kept once, with its
// better score.
func (t *topK) add(h merged) {
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
		t.up(len(t.heap) - 1)
		return
	}
	delete(t.ids, t.heap[0].ID())
	t.ids[h.ID()] = struct{}{}
	t.heap[0] = h
	t.down(0)
}

func (t *topK) replace(h merged) {
	meter.Count("entry.hit.duplicate", 1)
	for i := range t.heap {
		if t.heap[i].ID() == h.ID() {
			if compareHits(h, t.heap[i]) < 0 {
				t.heap[i] = h
				t.down(i)
			}
			return
		}
	}
}

// sorted returns the kept hits, best first.
func (t *topK) sorted() []merged {
	slices.SortFunc(t.heap, compareHits)
	return t.heap
}

func (t *topK) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compareHits(t.heap[i], t.heap[parent]) <= 0 {
			return
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

func (t *topK) down(i int) {
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

// compareHits orders better hits first. The shard decides between equal
// identifiers, so the order does not depend on arrival.
func compareHits(a, b merged) int {
	return cmp.Or(
		cmp.Compare(b.Score(), a.Score()),
		cmp.Compare(a.ID(), b.ID()),
		cmp.Compare(a.shard, b.shard),
	)
}
