package searchers

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against shard ranges that overlap or leave documents out: a merge of the
// shards' answers must equal the reference answer.
func TestMergedShardAnswers(t *testing.T) {
	c := NewCorpus(7, 300)
	rapid.Check(t, func(t *rapid.T) {
		p := PartitionMap{
			Layout: rapid.SampledFrom([]Layout{EvenLayout, SkewedLayout}).Draw(t, "layout"),
			Shards: rapid.IntRange(1, 40).Draw(t, "shards"),
		}
		snapshot := rapid.Uint64Range(1, 50).Draw(t, "snapshot")
		query := fmt.Appendf(nil, "%d", rapid.IntRange(0, 99).Draw(t, "query"))
		var next, documents uint64
		var ranges []Range
		for i := range p.Shards {
			low, high := p.Range(i)
			if low != next || high < low {
				t.Fatalf("range %d of %s is [%d, %d) after %d", i, p.ID(), low, high, next)
			}
			next = high
			r := Range{Low: low, High: high}
			documents += c.Count(snapshot, r)
			ranges = append(ranges, r)
		}
		if next != KeySpace || documents != c.Total(snapshot) {
			t.Fatalf("%s ends at %d with %d of %d documents", p.ID(), next, documents, c.Total(snapshot))
		}
		whole := c.Search(snapshot, []Range{{High: KeySpace}}, query, 20)
		if d := cmp.Diff(whole, c.Search(snapshot, ranges, query, 20)); d != "" {
			t.Fatal(d)
		}
		if other := c.Search(snapshot+1, ranges, query, 20); len(whole) == 0 || string(other[0].Data) == string(whole[0].Data) {
			t.Fatalf("query %q has no hit or the same first hit in snapshots %d and %d", query, snapshot, snapshot+1)
		}
	})
}
