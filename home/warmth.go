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
	// slowReplies is the doubt at which a warm searcher counts as cold: as many
	// slow replies in a row, or more with fast ones between them. With
	// long-tailed service times (lognormal, sigma 0.5) one reply in 20 is slow by
	// chance, five in a row one in 3 million.
	slowReplies = 5
	// fastRelief is by how much a fast reply lowers the doubt that a slow one
	// raises by 1: ln(0.95/0.2) / ln(0.8/0.05), the likelihood ratios of a fast
	// and a slow reply if a warm searcher is slow in 1 and a cold one in 16 of 20
	// replies.
	fastRelief = 0.56
	// fastReplies in a row end all doubt; a cold searcher that is five times slow
	// has two in a row once in 270 pairs.
	fastReplies = 2
	// doubtMemory is how long after the last slow reply earlier ones count; pauses
	// of a VM that follow one another must not add up to a cold start.
	doubtMemory = 300 * time.Millisecond
	// doubtful is the doubt from which a searcher is held at its cold limit until
	// the doubt is gone, so that a cold one gets little while it is found out.
	doubtful = 2
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
	doubt     float64       // Evidence of a cold start while warm, in slow replies.
	doubted   bool          // Held at the cold limit.
	fastRun   int           // Fast replies in a row since the last slow one.
	slowSince time.Duration // When the first of these replies came.
	slowLast  time.Duration // When the last of them came.
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
	w.allowed, w.successes, w.total = w.coldLimit, 0, 0
	w.trust()
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
		w.warm, w.evident = true, false
		w.trust()
	}
}

// giveUp notes an attempt that ended without a reply. Its time counts in the
// window, because the replies that remain are the fast ones.
func (w *warmth) giveUp(took time.Duration) {
	if !w.warm {
		w.total += took
	}
}

// trust ends all doubt.
func (w *warmth) trust() { w.doubt, w.doubted = 0, false }

// suspect notes the latency of a reply, or of an attempt that was given up, and
// returns to the cold limit when a warm searcher is slow all the time. Peer
// tells that the reference is another warm searcher of the group.
func (w *warmth) suspect(now, took, reference time.Duration, peer bool) {
	if !w.warm || reference <= 0 {
		return
	}
	if took <= slowFactor*reference {
		w.doubt -= fastRelief
		if w.fastRun++; w.doubt <= 0 || w.fastRun >= fastReplies {
			w.trust()
		}
		return
	}
	if now-w.slowLast > doubtMemory {
		w.doubt = 0 // The limit stays until fast replies lift it.
	}
	w.fastRun, w.slowLast = 0, now
	if w.doubt == 0 {
		w.slowSince = now
	}
	w.doubt++
	w.doubted = w.doubted || w.doubt >= doubtful
	replies, span := float64(slowReplies), slowSpan
	if !peer {
		replies, span = slowAlone*replies, slowAlone*span
	}
	if w.doubt >= replies && now-w.slowSince >= span {
		meter.Count("home.chill.latency", 1)
		window := w.window
		w.chill(now)
		w.window = window // Latency alone is no proof, so the ramp stays short.
	}
}
