package daemon

import (
	"context"
	"os"
	"runtime/debug"

	"medlaryard.example/medlaryard/clientbudget"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/settings"
)

// fatalInvariantsEnv is the environment variable that makes every violated invariant
// end the daemon. Trial runs set it.
const fatalInvariantsEnv = "MEDLARYARD_FATAL_INVARIANTS"

// Run runs a daemon until ctx ends or a listener fails, then shuts it down
// gracefully. It returns an error if the daemon cannot start, if a listener fails, or
// if the shutdown aborts requests.
func Run(ctx context.Context, cfg settings.Settings) error {
	limitLogRate()
	if os.Getenv(fatalInvariantsEnv) != "" {
		invariant.PanicOnViolation()
	}
	debug.SetMemoryLimit(clientbudget.HeapLimit(int64(cfg.Memory())))
	d, err := newDaemon(cfg)
	if err != nil {
		return err
	}
	d.start()
	select {
	case <-ctx.Done():
	case err = <-d.serveErr:
	}
	if shutdownErr := d.shutdown(); err == nil {
		err = shutdownErr
	}
	return err
}
