package move

import (
	"time"

	"medlaryard.example/medlaryard/catalogue"
)

// activeMove is the controller's state of one declared move.
type activeMove struct {
	move         *catalogue.Move
	service      string
	state        State
	version      uint64 // Version of the stored object; 0 when absent.
	loaded       bool   // False until state was read, and after a failed write, which may have taken effect.
	window       *window
	resumedCount uint64        // Requests of this step that the stored state counts already.
	stopReason   string        // Reason reported by a daemon that stopped the version; empty if none.
	syncedAt     time.Duration // Time of the last read or write of the state.
}
