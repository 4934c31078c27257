package searcher

// TargetSpec holds the functions that NewTarget takes. Send and Health return
// at once and must not call done before they return, because homes call them
// while they hold a lock.
type TargetSpec struct {
	// Send starts one call and calls done exactly once, after the searcher has
	// stopped working on the call as far as is known. The function it returns
	// gives the call up.
	Send func(c Call, done func(Reply, *Failure)) (cancel func())
	// Health asks for the searcher's health and calls done exactly once.
	Health func(done func(Health, *Failure))
	// Resize sets the highest number of connections.
	Resize func(connections int)
	// Open returns the number of connections open or being made.
	Open func() int
	// Close ends all connections; calls in progress fail.
	Close func()
}

// Target is one searcher behind some protocol.
type Target struct {
	spec TargetSpec
}

// NewTarget returns the Target that spec describes.
func NewTarget(spec TargetSpec) *Target { return &Target{spec: spec} }

// Send starts one call. Done is called exactly once, never before Send returns.
// The function it returns gives the call up.
func (t *Target) Send(c Call, done func(Reply, *Failure)) (cancel func()) {
	return t.spec.Send(c, done)
}

// Health asks for the searcher's health. Done is called exactly once, never
// before Health returns.
func (t *Target) Health(done func(Health, *Failure)) { t.spec.Health(done) }

// Resize sets the highest number of connections; 0 closes all idle ones.
func (t *Target) Resize(connections int) { t.spec.Resize(connections) }

// Open returns the number of connections open or being made.
func (t *Target) Open() int { return t.spec.Open() }

// Close ends all connections.
func (t *Target) Close() { t.spec.Close() }
