package command

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/node"
	"medlaryard.example/medlaryard/platform"
)

// logBufferLines is the number of log lines that are buffered for a slow reader.
// A line takes about 250 bytes, so a full buffer holds about 1 MB.
const logBufferLines = 4096

type nodeCommand struct {
	Settings string `arg:"" optional:"" help:"Settings file of this daemon, see docs/platform.md. Default: the file that $MEDLARYARD_BOOT names."`
	Check    bool   `help:"Only check the settings."`
	Config   string `name:"configuration" type:"existingfile" help:"With --check: also check this configuration of the platform (JSON) and list the faults in its client accounts."`
}

// Validate checks the combination of the flags.
func (c *nodeCommand) Validate() error {
	if c.Config != "" && !c.Check {
		return errors.New("--configuration: needs --check")
	}
	return nil
}

// Run runs the daemon on the platform.
func (c *nodeCommand) Run(env *Env) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	s, err := node.LoadSettings(path)
	if err != nil {
		return &exitError{code: InvalidInput, err: err}
	}
	if c.Check {
		return c.checkConfiguration()
	}
	level := zerolog.InfoLevel
	if name := s.LogLevel(); name != "" {
		if level, err = zerolog.ParseLevel(name); err != nil {
			return &exitError{code: InvalidInput, err: err}
		}
	}
	// A log reader that stops reading must not block a request. When the buffer is
	// full, lines are dropped and counted.
	out := diode.NewWriter(env.Stdout, logBufferLines, 0, func(dropped int) {
		meter.Count("log.dropped", int64(dropped))
	})
	defer out.Close()
	log := zerolog.New(out).Level(level).With().Timestamp().Str("daemon", s.Name()).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	stopReload := watchSettings(path, log)
	defer stopReload()
	return node.Run(ctx, s, env.Clock, log)
}

// checkConfiguration returns the faults in the configuration of the platform, if
// one is given.
func (c *nodeCommand) checkConfiguration() error {
	if c.Config == "" {
		return nil
	}
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return eris.Wrap(err, "read configuration")
	}
	faults, err := platform.CheckConfig(text)
	errs := []error{err}
	for _, f := range faults {
		errs = append(errs, f)
	}
	if err := errors.Join(errs...); err != nil {
		return &exitError{code: InvalidInput, err: err}
	}
	return nil
}

// watchSettings validates the settings file on each SIGHUP and logs the result
// until stop is called. New settings take effect only at the next start, because
// a running daemon cannot change its listeners or the address of its store.
func watchSettings(path string, log zerolog.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range hangups {
			if _, err := node.LoadSettings(path); err != nil {
				log.Warn().Err(err).Msg("settings file is invalid; the daemon keeps its current settings")
				continue
			}
			log.Info().Str("file", path).Msg("settings file is valid; it takes effect at the next start")
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
		<-done
	}
}
