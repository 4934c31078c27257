package query

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound the log lines about requests; a request
	// that failed takes up to 50.
	linesPerSecond = 100
	lineBurst      = 400
	// sampleEvery is the share of plain successes that are logged.
	sampleEvery = 200
)

// throttle bounds the log lines about requests. The caller holds the engine's
// story lock.
type throttle struct {
	limiter *rate.Limiter
	leftOut int
	answers int
}

func newThrottle() *throttle {
	return &throttle{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// allow reports whether n lines may be written, and how many were left out
// since the last time.
func (t *throttle) allow(now time.Time, n int) (bool, int) {
	if !t.limiter.AllowN(now, n) {
		t.leftOut += n
		return false, 0
	}
	left := t.leftOut
	t.leftOut = 0
	return true, left
}

// sampled reports whether a plain success is logged.
func (t *throttle) sampled() bool {
	t.answers++
	return t.answers%sampleEvery == 1
}
