package catalogue

// LimitsSpec holds the values that NewLimits takes.
type LimitsSpec struct {
	// Rate is the maximum number of requests per second, summed over all daemons.
	Rate float64
	// Concurrency is the maximum number of requests in flight, summed over all daemons.
	Concurrency int
}

// Limits bounds the requests of one entry. A zero value means that the entry sets no
// bound of its own. Bounds of other entries that a request counts against still apply.
type Limits struct {
	spec LimitsSpec
}

// NewLimits returns the immutable Limits that spec describes.
func NewLimits(spec LimitsSpec) Limits {
	return Limits{spec: spec}
}

// Rate is the maximum number of requests per second, summed over all daemons.
func (l Limits) Rate() float64 { return l.spec.Rate }

// Concurrency is the maximum number of requests in flight, summed over all daemons.
func (l Limits) Concurrency() int { return l.spec.Concurrency }
