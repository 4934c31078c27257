package entry

import (
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// Answer is the merged answer to a Query. All hits are from one snapshot.
type Answer struct {
	id        string
	version   indexVersion
	documents uint64
	hits      []shardHit
	missing   []missingShard
}

// shardHit is a hit with the shard that it came from.
type shardHit struct {
	shard.Hit
	shard string
}

// missingShard is a shard that the answer does not cover.
type missingShard struct {
	shard  string
	reason refusal.Kind
}

// fraction returns the covered fraction of the snapshot's documents, from 0 to 1.
func (a *Answer) fraction() float64 {
	if a.version.total == 0 {
		return 0
	}
	return float64(a.documents) / float64(a.version.total)
}
