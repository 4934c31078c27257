package daemon

import (
	"context"
	"os"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/settings"
)

// fatalInvariants is the environment variable with which trial runs make every
// violated invariant end the daemon.
const fatalInvariants = "MEDLARYARD_FATAL_INVARIANTS"

// Run serves until ctx ends and the graceful shutdown is done. The error tells
// why the daemon could not start or which requests it cut off.
func Run(ctx context.Context, cfg settings.Settings) error {
	limitLog()
	if os.Getenv(fatalInvariants) != "" {
		invariant.FatalInTests()
	}
	d, err := newDaemon(cfg)
	if err != nil {
		return err
	}
	d.start()
	select {
	case <-ctx.Done():
	case err = <-d.failed:
	}
	if shut := d.shutdown(); err == nil {
		err = shut
	}
	return err
}
