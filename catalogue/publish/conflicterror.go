package publish

import (
	"fmt"
	"time"
)

// ConflictError is the error for a change whose base generation is not in force. The
// change did not take effect.
type ConflictError struct {
	baseGeneration uint64
	current        Current
}

// BaseGeneration returns the generation that the change was based on.
func (e *ConflictError) BaseGeneration() uint64 { return e.baseGeneration }

// Current returns the catalogue in force.
func (e *ConflictError) Current() Current { return e.current }

// Error describes the catalogue in force, with its author, generation and time.
func (e *ConflictError) Error() string {
	if e.current.Generation() == 0 {
		return fmt.Sprintf("nothing was changed: the change is based on generation %d, but no catalogue is in force", e.baseGeneration)
	}
	return fmt.Sprintf("nothing was changed: the change is based on generation %d, but %q has applied generation %d at %s",
		e.baseGeneration, e.current.Author(), e.current.Generation(), e.current.Applied().Format(time.RFC3339))
}
