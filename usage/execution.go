package usage

import "sync"

// Execution is the count of one request, which may be sent to several targets. It
// implements targets.Observer.
//
// A request counts in the window of its first send. If all its sends are known
// not to have run, it is taken back; a later send then counts in its own window,
// in which the request begins to run.
type Execution struct {
	counter *Counter
	account string

	mu      sync.Mutex
	window  int64
	open    int  // Sends without an outcome.
	counted bool // The request counts in the window.
	settled bool // A target has run it, or may have.
}

// Sent records that the request is being sent to a target.
func (e *Execution) Sent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open++
	if !e.counted {
		e.counted = true
		e.window = e.counter.begin(e.account)
	}
}

// Ended records the outcome of one send.
func (e *Execution) Ended(mayHaveRun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
	switch {
	case e.settled:
	case mayHaveRun:
		e.settled = true
		e.counter.settle(e.window)
	case e.open == 0:
		e.counted = false
		e.counter.takeBack(e.window, e.account)
	}
}
