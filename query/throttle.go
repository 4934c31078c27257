package query

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound the log lines about requests; a failed
	// request produces up to 50 lines.
	linesPerSecond = 100
	lineBurst      = 400
	// sampleEvery is the sampling interval of successes without anomalies: one
	// of that many is logged.
	sampleEvery = 200
)

// logThrottle limits the rate of log lines about requests. The caller holds
// Engine.logMu.
type logThrottle struct {
	limiter   *rate.Limiter
	dropped   int
	successes int
}

func newLogThrottle() *logThrottle {
	return &logThrottle{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// allow reports whether n lines may be written and how many lines were dropped
// since the last permitted call.
func (t *logThrottle) allow(now time.Time, n int) (bool, int) {
	if !t.limiter.AllowN(now, n) {
		t.dropped += n
		return false, 0
	}
	dropped := t.dropped
	t.dropped = 0
	return true, dropped
}

// shouldSample counts a success without anomalies and reports whether to log
// it.
func (t *logThrottle) shouldSample() bool {
	t.successes++
	return t.successes%sampleEvery == 1
}
