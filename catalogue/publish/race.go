package publish

import (
	"fmt"
	"time"
)

// Race means that another change is in force than the one that this change
// was based on. This change did not take effect.
type Race struct {
	based uint64
	now   Current
}

// Based is the generation that the change was based on.
func (r *Race) Based() uint64 { return r.based }

// Now is the catalogue in force.
func (r *Race) Now() Current { return r.now }

// Error names the change that came first.
func (r *Race) Error() string {
	if r.now.Generation() == 0 {
		return fmt.Sprintf("nothing was changed: the change is based on generation %d, but no catalogue is in force", r.based)
	}
	return fmt.Sprintf("nothing was changed: the change is based on generation %d, but %q has applied generation %d at %s",
		r.based, r.now.Author(), r.now.Generation(), r.now.Applied().Format(time.RFC3339))
}
