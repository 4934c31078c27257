package once

import "time"

// Record is one identifier in a Table.
type Record struct {
	t           *Table
	key         string
	owner       string
	fingerprint uint64
	done        chan struct{}
	outcome     Outcome       // Set before done is closed.
	expires     time.Duration // Boot time, set before done is closed.
}

// Finish records the outcome. Only the holder of a Fresh record calls it, once.
func (r *Record) Finish(o Outcome) { r.t.finish(r, o) }

// Forget ends the record with an outcome that is "not run" and forgets the
// identifier, so that its sender may send it again.
func (r *Record) Forget(o Outcome) { r.t.forget(r, o) }

// Done is closed when the outcome is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns the outcome; ok is false while the request is running.
func (r *Record) Outcome() (o Outcome, ok bool) {
	select {
	case <-r.done:
		return r.outcome, true
	default:
		return Outcome{}, false
	}
}
