package duty

import "time"

// Action is what a daemon does next for its duty.
type Action int

// The actions.
const (
	Wait  Action = iota // Nothing can be done now.
	Read                // Read the object.
	Write               // Replace the object if it has the version of the step.
	Send                // Make the call.
)

// Step is an action with what it needs.
type Step struct {
	action   Action
	record   Record
	version  Version
	deadline time.Duration
}

// Action returns what to do.
func (s Step) Action() Action { return s.action }

// Record returns the content to write, or the record of the call to make.
func (s Step) Record() Record { return s.record }

// Version returns the version that the object must have for the write.
func (s Step) Version() Version { return s.version }

// Deadline returns the boot time after which no byte of the call may be sent.
func (s Step) Deadline() time.Duration { return s.deadline }

// View is what a daemon knows of the others when it decides.
type View struct {
	// Able means that this daemon may hold the duty. It is false during a
	// shutdown.
	Able bool
	// Candidate means that this daemon is the first that may take the duty, and
	// that no available daemon holds it.
	Candidate bool
	// Stopped reports whether the holder that a record names is known to have
	// stopped. The record has not changed for the given time.
	Stopped func(r Record, unchanged time.Duration) bool
	// Witnessed reports whether another daemon is known to have learned of a token
	// and position, or there is no other daemon.
	Witnessed func(Known) bool
	// Next returns the call that is due after the given position, if there is one.
	Next func(after int64) (Call, bool)
}
