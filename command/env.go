package command

import (
	"context"
	"io"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/settings"
	"medlaryard.example/medlaryard/store"
)

// Env holds the external dependencies of the subcommands, which tests replace.
type Env struct {
	// Stdin, Stdout and Stderr are the standard streams.
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Clock provides the time and the waits between retries and readings.
	Clock clock.Clock
	// OpenStore returns a client of the object store at address, which is IP:PORT.
	OpenStore func(address string) store.Store
	// Serve runs the daemon. After ctx ends it shuts down gracefully and returns.
	Serve func(ctx context.Context, cfg settings.Settings) error

	ctx context.Context
}
