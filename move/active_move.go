package move

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// activeMove is what a controller knows of one declared move.
type activeMove struct {
	move     *catalogue.Move
	service  string
	state    State
	version  uint64 // Version of the stored object; 0 when absent.
	loaded   bool   // False until state was read, and after a write with an unknown outcome.
	window   *window
	resumed  uint64 // Evidence counted before this controller took over.
	stopped  string // Fault reported by a home.
	recorded time.Duration
}
