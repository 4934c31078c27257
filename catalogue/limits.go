package catalogue

// LimitsSpec holds the values that NewLimits takes.
type LimitsSpec struct {
	// Rate is the highest number of requests a second over all daemons.
	Rate float64
	// Concurrency is the highest number of requests in flight over all daemons.
	Concurrency int
}

// Limits bounds what one entry may carry. Zero means that the entry sets no bound of its own.
type Limits struct {
	spec LimitsSpec
}

// NewLimits returns the immutable Limits that spec describes.
func NewLimits(spec LimitsSpec) Limits {
	return Limits{spec: spec}
}

// Rate is the highest number of requests a second over all daemons.
func (l Limits) Rate() float64 { return l.spec.Rate }

// Concurrency is the highest number of requests in flight over all daemons.
func (l Limits) Concurrency() int { return l.spec.Concurrency }
