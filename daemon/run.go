package daemon

import (
	"context"

	"medlaryard.example/medlaryard/settings"
)

// Run serves until ctx ends and the graceful shutdown is done. The error tells
// why the daemon could not start or which requests it cut off.
func Run(ctx context.Context, cfg settings.Settings) error {
	limitLog()
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
