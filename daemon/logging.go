package daemon

import (
	stdlog "log"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/meter"
)

// Fields of log lines: daemon, service, group, shard, searcher, move, member,
// epoch, generation, listener, reason, error, count. Other packages use the
// same names for the same things.
const (
	// linesPerSecond bounds the lines of each level. A storm of refusals is
	// visible in the counters; the log shows the first lines of each second.
	linesPerSecond = 20
)

var limitOnce sync.Once

// limitLog bounds the lines of the global logger. Tests run several daemons in
// one process.
func limitLog() {
	limitOnce.Do(func() { log.Logger = log.Logger.Sample(newLineLimit(time.Now)) })
}

// lineLimit is a zerolog.Sampler that admits linesPerSecond lines of each level.
type lineLimit struct {
	now func() time.Time

	mu     sync.Mutex
	second int64
	lines  map[zerolog.Level]int
}

func newLineLimit(now func() time.Time) *lineLimit {
	return &lineLimit{now: now, lines: make(map[zerolog.Level]int)}
}

// Sample reports whether a line is written.
func (l *lineLimit) Sample(level zerolog.Level) bool {
	if level >= zerolog.FatalLevel {
		return true
	}
	second := l.now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second = second
		clear(l.lines)
	}
	l.lines[level]++
	if l.lines[level] <= linesPerSecond {
		return true
	}
	meter.Count("log.dropped."+level.String(), 1)
	return false
}

// newStdLog returns a standard logger that writes lines of level warn.
func newStdLog(l zerolog.Logger) *stdlog.Logger {
	return stdlog.New(warnWriter{l}, "", 0)
}

// warnWriter turns the lines of a standard logger into log lines.
type warnWriter struct{ log zerolog.Logger }

// Write logs p as one line.
func (w warnWriter) Write(p []byte) (int, error) {
	w.log.Warn().Str("error", string(p)).Msg("HTTP server reported an error")
	return len(p), nil
}
