package home

import (
	"time"

	"medlaryard.example/medlaryard/meter"
)

const (
	// rampSuccesses is the number of successes in a row that double the
	// requests in flight of a cold searcher.
	rampSuccesses = 16
	// maxRampSuccesses bounds the growth of that number after each relapse.
	maxRampSuccesses = 1024
	// slowFactor times the latency of the other searchers is the latency at
	// which a warm searcher looks cold.
	slowFactor = 2
	// rampFactor times that latency bounds the mean of a window that lets a cold
	// searcher ramp up. A mean of rampSuccesses replies varies by an eighth and
	// the reference by a tenth; with a factor of 2, a searcher three times slower
	// passed by chance.
	rampFactor = 1.5
	// slowReplies is the number of slow replies in a row that show that a warm
	// searcher turned cold. With long-tailed service times (lognormal, sigma
	// 0.5) one reply in 20 is slow by chance, five in a row one in 3 million.
	slowReplies = 5
	// slowSpan is the least time from the first to the last of them. A pause of
	// the VM makes all replies slow that are on their way; without the span
	// searchers lost their slots several times a second on a busy machine.
	slowSpan = 250 * time.Millisecond
	// slowAlone multiplies both when no other searcher of the group is warm,
	// because then the service is the only comparison.
	slowAlone = 3
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
	evident   bool          // A claim, refusal or latency shows the cold start; false when only new to this home.
	successes int           // In the present window.
	total     time.Duration // Latency of the successes in the present window.
	slowRun   int           // Slow replies in a row while warm.
	slowSince time.Duration
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
	w.allowed, w.successes, w.total, w.slowRun = w.coldLimit, 0, 0, 0
	w.chilledAt = now
}

// refuse notes that the searcher turned a request away.
func (w *warmth) refuse(now time.Duration) {
	meter.Count("home.chill.refusal", 1)
	w.chill(now)
	w.rest = min(max(2*w.rest, restAfterRefusal), maxRest)
	w.restUntil = now + w.rest
}

// succeed notes a reply. The ramp goes on after a window of replies whose mean
// latency is normal; it stands still while the searcher itself claims to be
// cold or no normal latency is known (reference is 0).
func (w *warmth) succeed(now, took, reference time.Duration, slots int, claimsCold bool) {
	w.rest = 0
	if w.warm || claimsCold {
		return
	}
	w.total += took
	if w.successes++; w.successes < w.window {
		return
	}
	mean := w.total / time.Duration(w.successes)
	w.successes, w.total = 0, 0
	if reference <= 0 {
		return
	}
	if float64(mean) > rampFactor*float64(reference) {
		meter.Count("home.ramp.slow", 1)
		w.chill(now)
		return
	}
	meter.Count("home.ramp.step", 1)
	w.allowed *= 2
	if w.allowed >= slots {
		w.warm, w.evident, w.slowRun = true, false, 0
	}
}

// giveUp notes an attempt that ended without a reply. Its time counts in the
// window, because the replies that remain are the fast ones.
func (w *warmth) giveUp(took time.Duration) {
	if !w.warm {
		w.total += took
	}
}

// suspect notes the latency of a reply, or of an attempt that was given up, and
// returns to the cold limit when a warm searcher is slow all the time. Peer
// tells that the reference is another warm searcher of the group.
func (w *warmth) suspect(now, took, reference time.Duration, peer bool) {
	if !w.warm || reference <= 0 {
		return
	}
	if took <= slowFactor*reference {
		w.slowRun = 0
		return
	}
	if w.slowRun++; w.slowRun == 1 {
		w.slowSince = now
	}
	replies, span := slowReplies, slowSpan
	if !peer {
		replies, span = slowAlone*replies, slowAlone*span
	}
	if w.slowRun >= replies && now-w.slowSince >= span {
		meter.Count("home.chill.latency", 1)
		window := w.window
		w.chill(now)
		w.window = window // Latency alone is no proof, so the ramp stays short.
	}
}
