package home

import "time"

const (
	// rampSuccesses is the number of successes in a row that double the
	// requests in flight of a cold searcher.
	rampSuccesses = 16
	// maxRampSuccesses bounds the growth of that number after each relapse.
	maxRampSuccesses = 1024
	// relapseMemory is the time after which an earlier cold start no longer
	// makes the ramp more cautious.
	relapseMemory = time.Minute
	// restAfterRefusal is the pause after a refusal by a cold searcher; it
	// doubles with each further refusal up to maxRest.
	restAfterRefusal = 20 * time.Millisecond
	maxRest          = time.Second
)

// warmth tells how many requests in flight a searcher can bear. Only observed
// success makes a searcher warm; what it claims is never enough.
type warmth struct {
	coldLimit int
	allowed   int // Requests in flight while cold.
	warm      bool
	evident   bool // A claim, refusal or latency shows the cold start; false when only new to this home.
	successes int
	window    int
	chilledAt time.Duration
	rest      time.Duration
	restUntil time.Duration
}

// newWarmth returns the state of a searcher that is new to this home. A cold
// limit of 0 counts as 1, because the searcher could never become warm.
func newWarmth(coldLimit int) warmth {
	limit := max(1, coldLimit)
	return warmth{coldLimit: limit, allowed: limit, window: rampSuccesses}
}

// chill returns to the cold limit.
func (w *warmth) chill(now time.Duration) {
	switch {
	case w.chilledAt != 0 && now-w.chilledAt > relapseMemory:
		w.window = rampSuccesses
	case w.warm || w.allowed > w.coldLimit:
		if w.chilledAt != 0 {
			w.window = min(2*w.window, maxRampSuccesses)
		}
	}
	w.warm, w.evident = false, true
	w.allowed, w.successes = w.coldLimit, 0
	w.chilledAt = now
}

// refuse notes that the searcher turned a request away.
func (w *warmth) refuse(now time.Duration) {
	w.chill(now)
	w.rest = min(max(2*w.rest, restAfterRefusal), maxRest)
	w.restUntil = now + w.rest
}

// succeed notes a reply in normal time. The ramp stands still while the
// searcher itself claims to be cold.
func (w *warmth) succeed(slots int, claimsCold bool) {
	w.rest = 0
	if w.warm || claimsCold {
		return
	}
	if w.successes++; w.successes < w.window {
		return
	}
	w.successes = 0
	w.allowed *= 2
	if w.allowed >= slots {
		w.warm, w.evident = true, false
	}
}
