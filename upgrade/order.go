package upgrade

// OrderID identifies an order to move a service: the position in the history of the store
// at which it was given. Two orders for the same version have different IDs.
type OrderID struct{ era, revision uint64 }

// NewOrderID returns the ID of an order that was given at a revision in an era of the
// store.
func NewOrderID(era, revision uint64) OrderID { return OrderID{era: era, revision: revision} }

// Era returns the era of the store.
func (id OrderID) Era() uint64 { return id.era }

// Revision returns the revision within the era.
func (id OrderID) Revision() uint64 { return id.revision }

// Before reports whether the order was given before another one.
func (id OrderID) Before(other OrderID) bool {
	return id.era < other.era || id.era == other.era && id.revision < other.revision
}
