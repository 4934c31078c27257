package searcher

// TargetSpec holds the functions of a Target. Homes call Send and Health with a
// lock held, so both must return without blocking and must not call done before
// they return.
type TargetSpec struct {
	// Send starts one call. It calls done exactly once, after the searcher has
	// stopped the call or was asked to. The returned function cancels the call.
	Send func(c Call, done func(Reply, *Failure)) (cancel func())
	// Health requests the health of the searcher and calls done exactly once.
	Health func(done func(Health, *Failure))
	// SetMaxConnections sets the maximum number of connections.
	SetMaxConnections func(connections int)
	// OpenConnections returns the number of connections open or being opened.
	OpenConnections func() int
	// Close closes all connections; calls in progress fail.
	Close func()
}

// Target is one searcher, independent of the protocol.
type Target struct {
	spec TargetSpec
}

// NewTarget returns a Target that calls the functions of spec.
func NewTarget(spec TargetSpec) *Target { return &Target{spec: spec} }

// Send starts one call. It calls done exactly once, never before Send returns.
// The returned function cancels the call.
func (t *Target) Send(c Call, done func(Reply, *Failure)) (cancel func()) {
	return t.spec.Send(c, done)
}

// Health requests the health of the searcher. It calls done exactly once, never
// before Health returns.
func (t *Target) Health(done func(Health, *Failure)) { t.spec.Health(done) }

// SetMaxConnections sets the maximum number of connections and closes idle ones
// above it; 0 closes all idle ones.
func (t *Target) SetMaxConnections(connections int) { t.spec.SetMaxConnections(connections) }

// OpenConnections returns the number of connections open or being opened.
func (t *Target) OpenConnections() int { return t.spec.OpenConnections() }

// Close closes all connections; calls in progress fail.
func (t *Target) Close() { t.spec.Close() }
