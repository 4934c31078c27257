package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/node"
	"medlaryard.example/medlaryard/platform"
)

// logLines is how many log lines are kept for a slow reader; a line takes about
// 250 bytes.
const logLines = 4096

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
	// A reader of the log that stops reading must not hold up a request, so lines
	// beyond the buffer are dropped and counted.
	out := diode.NewWriter(env.Stdout, logLines, 0, func(missed int) {
		meter.Count("log.dropped", int64(missed))
	})
	defer out.Close()
	log := zerolog.New(out).Level(level).With().Timestamp().Str("daemon", s.Name()).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	stopReload := watchSettings(path, log)
	defer stopReload()
	return node.Run(ctx, s, env.Clock, log)
}

// watchSettings checks the settings file on SIGHUP and logs the result. New
// settings take effect at the next start, because listeners and the store's
// address do not change while a daemon runs.
func watchSettings(path string, log zerolog.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range hangups {
			if _, err := node.LoadSettings(path); err != nil {
				log.Warn().Err(err).Msg("settings file is faulty; the settings in force stay")
				continue
			}
			log.Info().Str("file", path).Msg("settings file is sound; it takes effect at the next start")
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
		<-done
	}
}
