package vmlist

// VM is one entry of the VM list.
type VM struct {
	name    string
	address string
	domain  string
	leaving bool
}

// NewVM returns a VM. It is meant for readers of the list and for stand-ins.
// address is an IP address without a port, and domain is a failure domain.
func NewVM(name, address, domain string, leaving bool) VM {
	return VM{name: name, address: address, domain: domain, leaving: leaving}
}

// Name returns the name of the VM, which is unique in the list.
func (v VM) Name() string { return v.name }

// Address returns the IP address of the VM, without a port.
func (v VM) Address() string { return v.address }

// Domain returns the name of the VM's failure domain.
func (v VM) Domain() string { return v.domain }

// Leaving reports whether the platform is about to remove the VM.
func (v VM) Leaving() bool { return v.leaving }
