package load

import (
	"encoding/json"
	"fmt"

	"medlaryard.example/medlaryard/standin/searchers"
)

// checker validates answers to queries. A nil corpus skips the comparison with
// the reference answer.
type checker struct {
	corpus *searchers.Corpus
}

// violation describes what is wrong with an answer. It returns "" for a correct one.
func (c checker) violation(r wireRequest, a wireAnswer) string {
	cov := a.Coverage
	full := cov.Documents == cov.Total
	switch {
	case a.ID != r.ID:
		return fmt.Sprintf("answer to %q carries id %q", r.ID, a.ID)
	case a.Snapshot == 0:
		return fmt.Sprintf("answer to %q names no snapshot", r.ID)
	case cov.Total == 0 || cov.Documents > cov.Total:
		return fmt.Sprintf("answer to %q covers %d of %d documents", r.ID, cov.Documents, cov.Total)
	case full && len(a.Missing) > 0:
		return fmt.Sprintf("answer to %q has full coverage and %d missing shards", r.ID, len(a.Missing))
	case !full && len(a.Missing) == 0:
		return fmt.Sprintf("answer to %q has coverage %g and no missing shard", r.ID, cov.Fraction)
	case len(a.Hits) > r.Limit:
		return fmt.Sprintf("answer to %q has %d hits, the limit is %d", r.ID, len(a.Hits), r.Limit)
	case c.corpus == nil:
		return ""
	}
	return c.compareWithReference(r, a, full)
}

// compareWithReference requires a full answer to equal the reference answer, and
// a partial one to contain only hits of its snapshot, in order.
func (c checker) compareWithReference(r wireRequest, a wireAnswer, full bool) string {
	if a.Coverage.Total != c.corpus.Total(a.Snapshot) {
		return fmt.Sprintf("answer to %q states %d documents in snapshot %d, which has %d",
			r.ID, a.Coverage.Total, a.Snapshot, c.corpus.Total(a.Snapshot))
	}
	limit := r.Limit
	if !full {
		limit = int(a.Coverage.Total)
	}
	all := []searchers.Range{{Low: 0, High: searchers.KeySpace}}
	reference := c.corpus.Search(a.Snapshot, all, r.Body, limit)
	if full && len(a.Hits) != len(reference) {
		return fmt.Sprintf("answer to %q has %d hits, the reference has %d", r.ID, len(a.Hits), len(reference))
	}
	rank := make(map[string]int, len(reference))
	for i, h := range reference {
		rank[h.ID] = i
	}
	last := -1
	for _, h := range a.Hits {
		i, ok := rank[h.ID]
		if !ok || !equalHit(h, reference[i]) {
			return fmt.Sprintf("answer to %q has hit %q that is not one of snapshot %d", r.ID, h.ID, a.Snapshot)
		}
		if i <= last {
			return fmt.Sprintf("answer to %q has hit %q twice or out of order", r.ID, h.ID)
		}
		last = i
	}
	return ""
}

func equalHit(h wireHit, ref searchers.Hit) bool {
	var got, want any
	if json.Unmarshal(h.Data, &got) != nil || json.Unmarshal(ref.Data, &want) != nil {
		return false
	}
	return h.Score == ref.Score && got == want
}
