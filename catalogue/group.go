package catalogue

// GroupSpec holds the values that NewGroup takes.
type GroupSpec struct {
	// ID is service/shard/index, unique in the estate.
	ID string
	// Service names the service.
	Service string
	// Shard names the shard.
	Shard string
	// Searchers are the members of the group, in catalogue order.
	Searchers []*Searcher
}

// Group is a replica group: the searchers of one shard that share one home.
type Group struct {
	spec GroupSpec
}

// NewGroup returns the immutable Group that spec describes.
func NewGroup(spec GroupSpec) Group {
	return Group{spec: spec}
}

// ID is service/shard/index, unique in the estate.
func (g Group) ID() string { return g.spec.ID }

// Service names the service.
func (g Group) Service() string { return g.spec.Service }

// Shard names the shard.
func (g Group) Shard() string { return g.spec.Shard }

// Searchers are the members of the group, in catalogue order.
func (g Group) Searchers() []*Searcher { return g.spec.Searchers }
