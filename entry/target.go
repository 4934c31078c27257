package entry

import "medlaryard.example/medlaryard/shard"

// target is the index version that a query is answered from.
type target struct {
	snapshot uint64
	mapID    string // Identifier of the partition map.
	total    uint64
}

func targetOf(l shard.Label) target {
	return target{snapshot: l.Snapshot(), mapID: l.Map(), total: l.Total()}
}

// valid reports whether l is consistent in itself.
func valid(l shard.Label) bool {
	return l.Snapshot() > 0 && l.Low() < l.High() && l.Documents() <= l.Total() && l.Total() > 0
}
