package searcher

import "medlaryard.example/medlaryard/refusal"

// Failure describes why a call got no valid reply. The embedded refusal states
// whether the request ran.
type Failure struct {
	*refusal.Error
	fault Fault
}

// NewFailure returns a Failure; err states whether the request ran.
func NewFailure(fault Fault, err *refusal.Error) *Failure {
	return &Failure{Error: err, fault: fault}
}

// Fault returns what the failure implies about the searcher.
func (f *Failure) Fault() Fault { return f.fault }

// Unwrap returns the refusal, so that refusal.FromError finds it.
func (f *Failure) Unwrap() error { return f.Error }
