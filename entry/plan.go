package entry

import (
	"github.com/cespare/xxhash/v2"

	"medlaryard.example/medlaryard/shard"
)

// plan is the choice of one index version and of one replica group per shard.
type plan struct {
	version    indexVersion
	subqueries []subquery
	// announced is the number of shards with a group that announced the version.
	announced int
}

// complete reports whether every shard announced the version.
func (p *plan) complete() bool { return p.announced == len(p.subqueries) }

// choosePlan plans a query on the index version that most shards can serve, or
// on the newest of several such versions. It ignores excluded versions. The hash
// of id spreads queries over the groups of a shard. The result is false if there
// is no version to choose.
func choosePlan(l *layout, t *labelTable, id string, exclude []indexVersion) (*plan, bool) {
	support := make([]versionSupport, 0, maxLabels)
	for i := range l.shards {
		for _, g := range l.shards[i].groups {
			labels := t.get(g)
			support = countSupport(support, labels, i, exclude)
		}
	}
	if len(support) == 0 {
		return nil, false
	}
	best := support[0]
	for _, v := range support[1:] {
		if v.betterThan(best) {
			best = v
		}
	}
	p := &plan{version: best.version, subqueries: make([]subquery, len(l.shards)), announced: best.shards}
	h := xxhash.Sum64String(id)
	for i := range l.shards {
		p.subqueries[i] = newSubquery(&l.shards[i], t, best.version, h)
	}
	return p, true
}

// newSubquery picks a group that announced the version, or any group of the shard
// if none did. The choice depends on the hash h.
func newSubquery(s *shardGroups, t *labelTable, version indexVersion, h uint64) subquery {
	n := uint64(len(s.groups))
	for k := range n {
		g := s.groups[(h+k)%n]
		if label, ok := findLabel(t.get(g), version); ok {
			return subquery{shard: s.shard, group: g, label: label, labelKnown: true}
		}
	}
	return subquery{shard: s.shard, group: s.groups[h%n]}
}

// findLabel returns the label that has the given index version.
func findLabel(labels []shard.Label, version indexVersion) (shard.Label, bool) {
	for _, label := range labels {
		if indexVersionOf(label) == version {
			return label, true
		}
	}
	return shard.Label{}, false
}
