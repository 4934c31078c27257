package catalogue

// DomainSpec holds the values that NewDomain takes.
type DomainSpec struct {
	EntrySpec
	// Region names the region that the failure domain belongs to.
	Region string
	// InService is false while operators have taken the failure domain out of service.
	InService bool
}

// Domain is one failure domain of the estate.
type Domain struct {
	Entry
	spec DomainSpec
}

// NewDomain returns the immutable Domain that spec describes.
func NewDomain(spec DomainSpec) *Domain {
	return &Domain{Entry: NewEntry(spec.EntrySpec), spec: spec}
}

// Region names the region that the failure domain belongs to.
func (d *Domain) Region() string { return d.spec.Region }

// InService is false while operators have taken the failure domain out of service.
func (d *Domain) InService() bool { return d.spec.InService }
