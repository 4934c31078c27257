package entry

// Address describes one entry that callers may connect to.
type Address struct {
	address     string
	incarnation string
	domain      string
}

// NewAddress returns an Address of an IP address and port, the incarnation of
// the daemon that listens there, and its failure domain.
func NewAddress(address, incarnation, domain string) Address {
	return Address{address: address, incarnation: incarnation, domain: domain}
}

// Address returns the IP address and port.
func (a Address) Address() string { return a.address }

// Incarnation returns the incarnation of the daemon that listens there.
func (a Address) Incarnation() string { return a.incarnation }

// Domain returns the name of the daemon's failure domain.
func (a Address) Domain() string { return a.domain }
