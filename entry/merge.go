package entry

import (
	"cmp"
	"slices"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// merge builds the answer of the accepted results of p. It returns nil when
// nothing was accepted.
func merge(id string, limit int, p *plan) *Answer {
	dropOverlaps(p)
	a := &Answer{id: id, target: p.target}
	top := newTopK(limit)
	for i := range p.lanes {
		l := &p.lanes[i]
		if !l.merged {
			a.missing = append(a.missing, missing{shard: l.shard, reason: l.reason})
			continue
		}
		label := l.result.Label()
		if targetOf(label) != p.target { // Formats only on a violation.
			invariant.Check("entry.one_snapshot", false, "query %s merges %v into an answer of %v", id, label, p.target)
		}
		a.documents += label.Documents()
		for _, h := range l.result.Hits() {
			top.add(merged{Hit: h, shard: l.shard})
		}
	}
	if len(a.missing) == len(p.lanes) {
		return nil
	}
	if a.documents > a.target.total {
		// The labels contradict their own total, so no coverage is true.
		meter.Count("entry.coverage.inconsistent", 1)
		for i := range p.lanes {
			p.lanes[i].reject("labels exceed the snapshot's total")
		}
		return nil
	}
	a.hits = top.sorted()
	return a
}

// dropOverlaps rejects results whose key ranges are not disjoint. Which of two
// is wrong cannot be known, so neither is merged.
func dropOverlaps(p *plan) {
	order := make([]*lane, 0, len(p.lanes))
	for i := range p.lanes {
		if p.lanes[i].merged {
			order = append(order, &p.lanes[i])
		}
	}
	slices.SortFunc(order, func(a, b *lane) int {
		return cmp.Compare(a.result.Label().Low(), b.result.Label().Low())
	})
	var widest *lane
	var bad []*lane
	for _, l := range order {
		if widest != nil && l.result.Label().Low() < widest.result.Label().High() {
			bad = append(bad, widest, l)
		}
		if widest == nil || l.result.Label().High() > widest.result.Label().High() {
			widest = l
		}
	}
	for _, l := range bad {
		l.reject("key range overlaps another shard's")
	}
}

// reject withdraws an accepted result.
func (l *lane) reject(detail string) {
	if !l.merged {
		return
	}
	meter.Count("entry.result.rejected."+string(refusal.BadReply), 1)
	l.merged = false
	l.fail(refusal.BadReply, refusal.DidRun, detail)
}
