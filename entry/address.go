package entry

// Address is one entry that callers may connect to.
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

// Address is the IP address and port.
func (a Address) Address() string { return a.address }

// Incarnation identifies the process that listens there.
func (a Address) Incarnation() string { return a.incarnation }

// Domain names the failure domain of the daemon.
func (a Address) Domain() string { return a.domain }
