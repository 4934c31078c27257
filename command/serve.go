package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/settings"
)

type serveCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file of this daemon, see docs/settings.md."`
	Check    bool   `help:"Only check the settings."`
}

// Run runs the daemon until SIGTERM or an interrupt. A second signal exits at once.
func (c *serveCommand) Run(env *Env) error {
	cfg, err := settings.Load(c.Settings)
	if err != nil || c.Check {
		return err
	}
	level, err := zerolog.ParseLevel(string(cfg.LogLevel()))
	if err != nil {
		return err
	}
	log.Logger = zerolog.New(env.Stderr).Level(level).With().Timestamp().Str("daemon", cfg.Name()).Logger()
	ctx, cancel := context.WithCancel(env.ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	go func() {
		s := <-signals
		log.Info().Stringer("signal", s).Msg("graceful shutdown begins")
		cancel()
		s = <-signals
		log.Warn().Stringer("signal", s).Msg("second signal received; exiting without completing the graceful shutdown")
		os.Exit(int(Failed))
	}()
	return env.Serve(ctx, cfg)
}
