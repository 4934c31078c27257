package command

import (
	"context"
	"io"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/settings"
	"medlaryard.example/medlaryard/store"
)

// Env is what the subcommands use of the world outside.
type Env struct {
	// Stdin, Stdout and Stderr are the standard streams.
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Clock paces retries and --watch.
	Clock clock.Clock
	// OpenStore returns the store at an address.
	OpenStore func(address string) store.Store
	// Serve runs the daemon until ctx ends and its graceful shutdown is done.
	Serve func(ctx context.Context, cfg settings.Settings) error

	ctx context.Context
}
