package shard

// LabelSpec holds the values that NewLabel takes.
type LabelSpec struct {
	// Snapshot is the snapshot number; it increases with every index version.
	Snapshot uint64
	// Map identifies the partition map of the snapshot.
	Map string
	// Low is the first key of the shard's range in the partition map.
	Low uint64
	// High is the first key after the shard's range.
	High uint64
	// Documents is the number of documents in the shard's range.
	Documents uint64
	// Total is the number of documents in the whole snapshot.
	Total uint64
}

// Label identifies an index snapshot and the part of it that a searcher serves.
type Label struct {
	spec LabelSpec
}

// NewLabel returns the immutable Label that spec describes.
func NewLabel(spec LabelSpec) Label {
	return Label{spec: spec}
}

// Snapshot is the snapshot number; it increases with every index version.
func (l Label) Snapshot() uint64 { return l.spec.Snapshot }

// Map identifies the partition map of the snapshot.
func (l Label) Map() string { return l.spec.Map }

// Low is the first key of the shard's range in the partition map.
func (l Label) Low() uint64 { return l.spec.Low }

// High is the first key after the shard's range.
func (l Label) High() uint64 { return l.spec.High }

// Documents is the number of documents in the shard's range.
func (l Label) Documents() uint64 { return l.spec.Documents }

// Total is the number of documents in the whole snapshot.
func (l Label) Total() uint64 { return l.spec.Total }
