package vmlist

// VM is one entry of the list.
type VM struct {
	name    string
	address string
	domain  string
	leaving bool
}

// NewVM returns a VM; only readers and stand-ins call it.
func NewVM(name, address, domain string, leaving bool) VM {
	return VM{name: name, address: address, domain: domain, leaving: leaving}
}

// Name is unique in the list.
func (v VM) Name() string { return v.name }

// Address is the IP address of the VM, without a port.
func (v VM) Address() string { return v.address }

// Domain names the failure domain.
func (v VM) Domain() string { return v.domain }

// Leaving reports that the platform is about to take the VM away.
func (v VM) Leaving() bool { return v.leaving }
