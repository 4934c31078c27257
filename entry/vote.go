package entry

import "medlaryard.example/medlaryard/shard"

// vote counts the shards that can serve a target.
type vote struct {
	target target
	shards int
	last   int // Index of the shard counted last.
}

func (v vote) better(than vote) bool {
	if v.shards != than.shards {
		return v.shards > than.shards
	}
	if v.target.snapshot != than.target.snapshot {
		return v.target.snapshot > than.target.snapshot
	}
	if v.target.mapID != than.target.mapID {
		return v.target.mapID > than.target.mapID
	}
	return v.target.total > than.target.total
}

// count adds the labels of one group. The number of targets is small, so a
// scan is faster than a map.
func count(votes []vote, labels []shard.Label, i int, exclude []target) []vote {
next:
	for _, label := range labels {
		t := targetOf(label)
		for _, x := range exclude {
			if x == t {
				continue next
			}
		}
		for j := range votes {
			if votes[j].target == t {
				if votes[j].last != i {
					votes[j].shards, votes[j].last = votes[j].shards+1, i
				}
				continue next
			}
		}
		votes = append(votes, vote{target: t, shards: 1, last: i})
	}
	return votes
}
