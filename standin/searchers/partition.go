package searchers

import (
	"fmt"
	"math/bits"
)

// KeySpace is the key after the last one.
const KeySpace uint64 = 1 << 32

// Layout names a way to split the key space.
type Layout string

// The layouts.
const (
	// Even splits the key space into equal ranges.
	Even Layout = "even"
	// Skewed gives later shards wider ranges.
	Skewed Layout = "skewed"
)

// Partition is a partition map: a layout for a number of shards.
type Partition struct {
	Layout Layout `json:"layout"`
	Shards int    `json:"shards"`
}

// ID identifies the partition map in labels.
func (p Partition) ID() string { return fmt.Sprintf("%s-%d", p.Layout, p.Shards) }

// Range returns the keys [low, high) of one shard.
func (p Partition) Range(shard int) (low, high uint64) {
	return p.bound(shard), p.bound(shard + 1)
}

func (p Partition) bound(i int) uint64 {
	part, whole := uint64(i), uint64(p.Shards)
	if p.Layout == Skewed {
		part, whole = part*(part+1), whole*(whole+1)
	}
	high, low := bits.Mul64(KeySpace, part)
	bound, _ := bits.Div64(high, low, whole)
	return bound
}
