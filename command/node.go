package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/node"
	"medlaryard.example/medlaryard/platform"
)

type nodeCommand struct {
	Settings string `arg:"" optional:"" help:"Settings file of this daemon, see docs/platform.md. Default: the file that $MEDLARYARD_BOOT names."`
	Check    bool   `help:"Only check the settings."`
}

// Run runs the daemon on the platform.
func (c *nodeCommand) Run(env *Env) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	s, err := node.LoadSettings(path)
	if err != nil {
		return &fault{code: Faulty, err: err}
	}
	if c.Check {
		return nil
	}
	level := zerolog.InfoLevel
	if name := s.LogLevel(); name != "" {
		if level, err = zerolog.ParseLevel(name); err != nil {
			return &fault{code: Faulty, err: err}
		}
	}
	log := zerolog.New(env.Stdout).Level(level).With().Timestamp().Str("daemon", s.Name()).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// SIGHUP announces changed settings. None of them changes while a daemon
	// runs but the addresses to start from, which are only used at the start.
	signal.Ignore(syscall.SIGHUP)
	return node.Run(ctx, s, env.Clock, log)
}
