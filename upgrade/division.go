package upgrade

// Withholding is the reason why a version whose order has ended gets no requests.
type Withholding string

// The reasons. A version is withheld because it did not replace the others.
const (
	// Undecided means that the order was replaced or deleted while it ran.
	Undecided Withholding = "undecided"
	// Bad means that the order was rolled back.
	Bad Withholding = "rolled back"
)

// Division divides the requests of a service between the versions of its targets. The zero
// value permits all versions.
type Division struct {
	order    OrderID
	version  string
	shares   Shares
	withheld map[string]Withholding
}

// NewDivision returns the division during an order to move to a version.
func NewDivision(order OrderID, version string, shares Shares) Division {
	return Division{order: order, version: version, shares: shares}
}

// Without returns the division with versions that get no requests. The map must not be
// modified afterwards.
func (d Division) Without(withheld map[string]Withholding) Division {
	d.withheld = withheld
	return d
}

// Order returns the order, or the zero value if there is none.
func (d Division) Order() OrderID { return d.order }

// Ordered reports whether there is an order.
func (d Division) Ordered() bool { return d.order != OrderID{} }

// Shares returns the shares of the ordered version.
func (d Division) Shares() Shares { return d.shares }

// IsNew reports whether a version is the ordered one.
func (d Division) IsNew(version string) bool { return d.Ordered() && version == d.version }

// Withholds returns why a version gets no requests, or "" if it may get some.
func (d Division) Withholds(version string) Withholding {
	if d.IsNew(version) {
		return ""
	}
	return d.withheld[version]
}

// PermitsAll reports whether nothing is divided.
func (d Division) PermitsAll() bool { return !d.Ordered() && len(d.withheld) == 0 }
