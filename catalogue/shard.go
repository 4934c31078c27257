package catalogue

// ShardSpec holds the values that NewShard takes.
type ShardSpec struct {
	EntrySpec
	// Searchers are the replicas of the shard, in catalogue order.
	Searchers []*Searcher
}

// Shard is one part of a service's index, replicated on several searchers.
type Shard struct {
	Entry
	spec ShardSpec
}

// NewShard returns the immutable Shard that spec describes.
func NewShard(spec ShardSpec) *Shard {
	return &Shard{Entry: NewEntry(spec.EntrySpec), spec: spec}
}

// Searchers are the replicas of the shard, in catalogue order.
func (s *Shard) Searchers() []*Searcher { return s.spec.Searchers }
