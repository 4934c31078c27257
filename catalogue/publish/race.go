package publish

import (
	"fmt"
	"time"
)

// Race is the error for a change whose base generation is not in force. The
// change did not take effect.
type Race struct {
	baseGeneration uint64
	current        Current
}

// BaseGeneration returns the generation that the change was based on.
func (r *Race) BaseGeneration() uint64 { return r.baseGeneration }

// Current returns the catalogue in force.
func (r *Race) Current() Current { return r.current }

// Error describes the catalogue in force, with its author, generation and time.
func (r *Race) Error() string {
	if r.current.Generation() == 0 {
		return fmt.Sprintf("nothing was changed: the change is based on generation %d, but no catalogue is in force", r.baseGeneration)
	}
	return fmt.Sprintf("nothing was changed: the change is based on generation %d, but %q has applied generation %d at %s",
		r.baseGeneration, r.current.Author(), r.current.Generation(), r.current.Applied().Format(time.RFC3339))
}
