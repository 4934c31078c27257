package entry

import (
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// Answer is the merged answer to a Query. All of it is from one snapshot.
type Answer struct {
	id        string
	target    target
	documents uint64
	hits      []merged
	missing   []missing
}

// merged is a hit with the shard that it came from.
type merged struct {
	shard.Hit
	shard string
}

// missing is a shard that the answer does not cover.
type missing struct {
	shard  string
	reason refusal.Kind
}

// fraction is the covered part of the snapshot's documents.
func (a *Answer) fraction() float64 {
	if a.target.total == 0 {
		return 0
	}
	return float64(a.documents) / float64(a.target.total)
}
