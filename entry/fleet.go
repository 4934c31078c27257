package entry

import (
	"context"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/shard"
)

// Fleet is what the entry needs from the rest of the daemon. All functions are
// safe for concurrent use. A result of Local or Relay carries the labels held by
// its group unless its own label is the newest of them.
type Fleet struct {
	// Estate returns the catalogue in force; ok is false before the first one.
	Estate func() (estate catalogue.Estate, ok bool)
	// PreferenceList returns the daemons that may serve a group, the home first.
	PreferenceList func(group string) []Home
	// Local sends one request to this daemon's own home.
	Local func(ctx context.Context, r shard.Request) shard.Result
	// AvailableSnapshots returns the labels that this daemon's own home knows of a group.
	AvailableSnapshots func(group string) []shard.Label
	// Relay sends the requests of one query to another daemon in one call. An
	// error means that the daemon gave no answer; refusal.Of(err).Ran() is
	// NotRun only when no byte of the call was written.
	Relay func(ctx context.Context, to Home, batch []shard.Request) ([]shard.Result, error)
	// Outcome asks another daemon for the fate of a non-idempotent request.
	Outcome func(ctx context.Context, to Home, in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error)
	// Member finds the daemon with an incarnation.
	Member func(incarnation string) (Home, bool)
	// Addresses lists the daemons that accept callers.
	Addresses func() []Address
}
