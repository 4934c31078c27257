package daemon

import (
	stdlog "log"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/meter"
)

// All packages use the same field names in log lines: daemon, service, group, shard,
// searcher, move, member, epoch, generation, listener, reason, error, count.

const (
	// linesPerSecond is the maximum number of lines of each level. Under a burst of
	// refusals, the counters give the totals and the log has the first lines of each
	// second.
	linesPerSecond = 20
)

var limitOnce sync.Once

// limitLogRate limits the rate of the global logger, once per process because tests
// run several daemons in one process.
func limitLogRate() {
	limitOnce.Do(func() { log.Logger = log.Logger.Sample(newLineSampler(time.Now)) })
}

// lineSampler is a zerolog.Sampler that admits linesPerSecond lines of each level in
// a second.
type lineSampler struct {
	now func() time.Time

	mu     sync.Mutex
	second int64
	lines  map[zerolog.Level]int
}

func newLineSampler(now func() time.Time) *lineSampler {
	return &lineSampler{now: now, lines: make(map[zerolog.Level]int)}
}

// Sample reports whether to write a line of level. Lines of level fatal and above are
// always written.
func (l *lineSampler) Sample(level zerolog.Level) bool {
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

// newStdLog returns a standard logger that writes to l with level warn.
func newStdLog(l zerolog.Logger) *stdlog.Logger {
	return stdlog.New(warnWriter{l}, "", 0)
}

// warnWriter writes the lines of a standard logger to log.
type warnWriter struct{ log zerolog.Logger }

// Write logs p as one line of level warn.
func (w warnWriter) Write(p []byte) (int, error) {
	w.log.Warn().Str("error", string(p)).Msg("HTTP server reported an error")
	return len(p), nil
}
