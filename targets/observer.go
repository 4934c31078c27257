package targets

// Observer is told of the sends of a request to targets, also of those whose
// results nobody waits for any more. Its methods are called with locks held and
// must not block.
type Observer interface {
	// Sent is called when the request is written to a connection.
	Sent()
	// Ended is called once for each send, with whether the target may have run the
	// request.
	Ended(mayHaveRun bool)
}

// ObservedBy sets the observer of a call.
func ObservedBy(o Observer) CallOption { return func(c *Call) { c.observer = o } }

// observeEnd tells the observer of a call that was sent how it ended.
func (c *Call) observeEnd(o Outcome) {
	if c.observer != nil && c.state == callSent {
		c.observer.Ended(o.MayHaveRun())
	}
}
