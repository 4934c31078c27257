package entry

import (
	"cmp"
	"slices"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// merge builds the answer from the accepted results of p. It returns nil if no
// result is left.
func merge(id string, limit int, p *plan) *Answer {
	rejectOverlaps(p)
	a := &Answer{id: id, version: p.version}
	top := newTopK(limit)
	for i := range p.subqueries {
		sq := &p.subqueries[i]
		if !sq.accepted {
			a.missing = append(a.missing, missingShard{shard: sq.shard, reason: sq.reason})
			continue
		}
		label := sq.result.Label()
		if indexVersionOf(label) != p.version { // Avoids the cost of formatting the arguments.
			invariant.Check("entry.one_snapshot", false, "query %s merges a result with label %v into an answer of index version %v", id, label, p.version)
		}
		a.documents += label.Documents()
		for _, h := range sq.result.Hits() {
			top.add(shardHit{Hit: h, shard: sq.shard})
		}
	}
	if len(a.missing) == len(p.subqueries) {
		return nil
	}
	if a.documents > a.version.total {
		// The labels contradict their own total, so no coverage figure is reliable.
		meter.Count("entry.coverage.inconsistent", 1)
		for i := range p.subqueries {
			p.subqueries[i].reject("labels of all shards together exceed the snapshot's total number of documents")
		}
		return nil
	}
	a.hits = top.sorted()
	return a
}

// rejectOverlaps rejects results whose key ranges overlap. It rejects both,
// because it cannot know which of the two is wrong.
func rejectOverlaps(p *plan) {
	accepted := make([]*subquery, 0, len(p.subqueries))
	for i := range p.subqueries {
		if p.subqueries[i].accepted {
			accepted = append(accepted, &p.subqueries[i])
		}
	}
	slices.SortFunc(accepted, func(a, b *subquery) int {
		return cmp.Compare(a.result.Label().Low(), b.result.Label().Low())
	})
	var highest *subquery
	var overlapping []*subquery
	for _, sq := range accepted {
		if highest != nil && sq.result.Label().Low() < highest.result.Label().High() {
			overlapping = append(overlapping, highest, sq)
		}
		if highest == nil || sq.result.Label().High() > highest.result.Label().High() {
			highest = sq
		}
	}
	for _, sq := range overlapping {
		sq.reject("key range overlaps that of another shard")
	}
}

// reject revokes the acceptance of a result.
func (sq *subquery) reject(detail string) {
	if !sq.accepted {
		return
	}
	meter.Count("entry.result.rejected."+string(refusal.BadReply), 1)
	sq.accepted = false
	sq.fail(refusal.BadReply, refusal.DidRun, detail)
}
