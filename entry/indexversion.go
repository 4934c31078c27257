package entry

import "medlaryard.example/medlaryard/shard"

// indexVersion identifies the snapshot and partition map that a query is answered
// from.
type indexVersion struct {
	snapshot uint64
	mapID    string // Identifier of the partition map.
	total    uint64 // Documents in the snapshot.
}

func indexVersionOf(l shard.Label) indexVersion {
	return indexVersion{snapshot: l.Snapshot(), mapID: l.Map(), total: l.Total()}
}

// validLabel reports whether the values of l are consistent with each other.
func validLabel(l shard.Label) bool {
	return l.Snapshot() > 0 && l.Low() < l.High() && l.Documents() <= l.Total() && l.Total() > 0
}
