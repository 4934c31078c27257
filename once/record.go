package once

import "time"

// Record is the entry of one identifier in a Table.
type Record struct {
	t           *Table
	key         string
	owner       string
	fingerprint uint64
	done        chan struct{}
	outcome     Outcome       // Set before done is closed.
	expires     time.Duration // Boot time, set before done is closed.
}

// Finish records the outcome. Only the caller that got the record as Fresh may call
// it, and only once.
func (r *Record) Finish(o Outcome) { r.t.finish(r, o) }

// Forget finishes the record with the outcome "not run" and removes the identifier
// from the table, so that it may be sent again.
func (r *Record) Forget(o Outcome) { r.t.forget(r, o) }

// Done returns a channel that is closed when the outcome is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns the outcome. The result ok is false while the request is running.
func (r *Record) Outcome() (o Outcome, ok bool) {
	select {
	case <-r.done:
		return r.outcome, true
	default:
		return Outcome{}, false
	}
}
