package move

// Evidence holds the cumulative counts of one version on one route since the
// reporting daemon started.
type Evidence struct {
	service string
	version string
	route   string
	sample  *Sample
}

// NewEvidence returns the evidence of one service, version and route.
func NewEvidence(service, version, route string, sample *Sample) Evidence {
	return Evidence{service: service, version: version, route: route, sample: sample}
}

// Service returns the name of the service.
func (e Evidence) Service() string { return e.service }

// Version returns the back-end version.
func (e Evidence) Version() string { return e.version }

// Route returns the kind of request within the service.
func (e Evidence) Route() string { return e.route }

// Sample returns the cumulative counts.
func (e Evidence) Sample() *Sample { return e.sample }
