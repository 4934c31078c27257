package upgrade

// Capacity is the number of requests that the reachable targets of a service take at once, by
// version.
type Capacity struct {
	oldSlots, newSlots int
}

// NewCapacity returns the capacity of the old and of the new version.
func NewCapacity(oldSlots, newSlots int) Capacity {
	return Capacity{oldSlots: oldSlots, newSlots: newSlots}
}

// minCapacityShare is the part of the old version's capacity, as a divisor, that the new one
// must have to replace it.
const minCapacityShare = 2

// replaces reports whether the new version can serve in place of the old one, whose targets
// stop when a move is completed.
func (c Capacity) replaces() bool {
	return c.newSlots > 0 && minCapacityShare*c.newSlots >= c.oldSlots
}
