package searchers

import (
	"fmt"
	"math/bits"
)

// KeySpace is the number of keys; they range from 0 to KeySpace-1.
const KeySpace uint64 = 1 << 32

// Layout names a method of splitting the key space into shards.
type Layout string

const (
	// EvenLayout splits the key space into equal ranges.
	EvenLayout Layout = "even"
	// SkewedLayout splits it into ranges whose widths grow with the shard index.
	SkewedLayout Layout = "skewed"
)

// PartitionMap splits the key space into a number of shards.
type PartitionMap struct {
	Layout Layout `json:"layout"`
	Shards int    `json:"shards"`
}

// ID returns the name of the partition map on the wire, such as even-4.
func (p PartitionMap) ID() string { return fmt.Sprintf("%s-%d", p.Layout, p.Shards) }

// Range returns the keys [low, high) of the shard with the given index.
func (p PartitionMap) Range(shard int) (low, high uint64) {
	return p.lowerBound(shard), p.lowerBound(shard + 1)
}

func (p PartitionMap) lowerBound(i int) uint64 {
	part, whole := uint64(i), uint64(p.Shards)
	if p.Layout == SkewedLayout {
		part, whole = part*(part+1), whole*(whole+1)
	}
	high, low := bits.Mul64(KeySpace, part)
	bound, _ := bits.Div64(high, low, whole)
	return bound
}
