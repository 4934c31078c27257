package entry

import (
	"context"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/shard"
)

// Fleet holds the functions through which an Entry uses the rest of the daemon.
// All functions must be safe for concurrent use. A result of Local or Relay
// lists the snapshots available in its group, unless its own label is the newest
// of them.
type Fleet struct {
	// Estate returns the catalogue in force. The result ok is false until the
	// daemon has received its first catalogue.
	Estate func() (estate catalogue.Estate, ok bool)
	// PreferenceList returns the daemons that may serve a group, the home first.
	PreferenceList func(group string) []Home
	// Local sends one request to this daemon's own home.
	Local func(ctx context.Context, r shard.Request) shard.Result
	// AvailableSnapshots returns the labels of the snapshots that a group of this
	// daemon's own home can serve.
	AvailableSnapshots func(group string) []shard.Label
	// Relay sends the requests of one query to another daemon in one call. An
	// error means that the daemon did not answer. refusal.FromError(err).Ran() is
	// NotRun only if no byte of the call was written.
	Relay func(ctx context.Context, to Home, batch []shard.Request) ([]shard.Result, error)
	// Outcome asks another daemon for the outcome of a non-idempotent request.
	Outcome func(ctx context.Context, to Home, in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error)
	// Member returns the daemon with the given incarnation. The result ok is
	// false if it is not a member of the cell.
	Member func(incarnation string) (Home, bool)
	// Addresses returns the entries that callers may connect to.
	Addresses func() []Address
}
