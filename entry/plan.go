package entry

import (
	"github.com/cespare/xxhash/v2"

	"medlaryard.example/medlaryard/shard"
)

// plan is the choice of one snapshot and one replica group per shard.
type plan struct {
	target target
	lanes  []lane
	// known is the number of lanes whose group announced the target.
	known int
}

// complete reports whether every shard announced the target.
func (p *plan) complete() bool { return p.known == len(p.lanes) }

// choose returns the target that most shards can serve, the newest of these.
// It skips excluded targets. The id spreads queries over the groups of a shard.
func choose(l *layout, t *table, id string, exclude []target) (*plan, bool) {
	votes := make([]vote, 0, maxLabels)
	for i := range l.shards {
		for _, g := range l.shards[i].groups {
			labels := t.of(g)
			votes = count(votes, labels, i, exclude)
		}
	}
	if len(votes) == 0 {
		return nil, false
	}
	best := votes[0]
	for _, v := range votes[1:] {
		if v.better(best) {
			best = v
		}
	}
	p := &plan{target: best.target, lanes: make([]lane, len(l.shards)), known: best.shards}
	h := xxhash.Sum64String(id)
	for i := range l.shards {
		p.lanes[i] = newLane(&l.shards[i], t, best.target, h)
	}
	return p, true
}

// newLane picks one of the groups that announced the target, or any group.
func newLane(s *shardGroups, t *table, to target, h uint64) lane {
	n := uint64(len(s.groups))
	for k := range n {
		g := s.groups[(h+k)%n]
		if label, ok := announcement(t.of(g), to); ok {
			return lane{shard: s.shard, group: g, label: label, known: true}
		}
	}
	return lane{shard: s.shard, group: s.groups[h%n]}
}

// announcement finds the label of a target.
func announcement(labels []shard.Label, to target) (shard.Label, bool) {
	for _, label := range labels {
		if targetOf(label) == to {
			return label, true
		}
	}
	return shard.Label{}, false
}
