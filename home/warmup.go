package home

import (
	"time"

	"medlaryard.example/medlaryard/meter"
)

const (
	// initialRampWindow is the number of consecutive replies after which the
	// limit of a cold searcher may double.
	initialRampWindow = 16
	// maxRampWindow bounds the window, which doubles after each further cold
	// start.
	maxRampWindow = 1024
	// slowLatencyFactor is the ratio of a reply's latency to that of the other
	// searchers above which the reply counts as slow, so that the searcher may
	// be cold.
	slowLatencyFactor = 2
	// maxRampLatencyFactor is the highest ratio of a window's mean latency to
	// the reference at which the limit grows. A mean of initialRampWindow
	// replies varies by an eighth and the reference by a tenth; with a factor
	// of 2, the limit of a searcher three times slower grew by chance.
	maxRampLatencyFactor = 1.5
	// coldScore is the slow score at which a warm searcher counts as cold. That
	// takes as many slow replies in a row, or more with fast ones between them.
	// With long-tailed service times (lognormal, sigma 0.5) one reply in 20 is
	// slow by chance, and five in a row are one case in 3 million.
	coldScore = 5
	// fastReplyCredit is the amount by which a fast reply lowers the slow
	// score; a slow reply raises it by 1. It is ln(0.95/0.2) / ln(0.8/0.05),
	// the ratio of the log-likelihood ratios of a fast and a slow reply if a
	// warm searcher is slow in 1 and a cold one in 16 of 20 replies.
	fastReplyCredit = 0.56
	// resetFastReplies is the number of consecutive fast replies that reset the
	// slow score. A cold searcher that is five times slower has two in a row
	// once in 270 pairs.
	resetFastReplies = 2
	// slowScoreTTL is how long the slow score lasts after the last slow reply,
	// so that successive pauses of a VM do not add up to a cold start.
	slowScoreTTL = 300 * time.Millisecond
	// limitScore is the slow score from which a searcher is held at its cold
	// limit until the score is reset. It keeps load off a cold searcher while
	// the evidence builds up.
	limitScore = 2
	// minSlowSpan is the shortest time between the first and the last of the
	// slow replies that mark a searcher as cold. A pause of the VM delays all
	// replies in flight; without this span searchers lost their slots several
	// times a second on a busy machine.
	minSlowSpan = 250 * time.Millisecond
	// noPeerFactor multiplies coldScore and minSlowSpan when no other searcher
	// of the group can be the reference, because then only the service's median
	// is left.
	noPeerFactor = 3
	// relapseWindow is the time after which an earlier cold start no longer
	// lengthens the ramp window.
	relapseWindow = time.Minute
	// minBackoff is the time without sends after a cold searcher refused a
	// request. It doubles with each further refusal, up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// warmup limits the requests in flight to a searcher during and after its cold
// start. A searcher becomes warm only by replies at a normal latency; its own
// report of being ready is not enough.
type warmup struct {
	coldLimit       int
	rampLimit       int // Limit of requests in flight while cold.
	warm            bool
	knownCold       bool          // Cold by a health reply, a refusal, its latency or an imported estimate; false if only new to this home.
	successes       int           // Replies in the ramp window.
	windowLatency   time.Duration // Sum of latencies in the ramp window.
	slowScore       float64       // Evidence of a cold start while warm, in slow replies.
	limited         bool          // Held at the cold limit by the slow score.
	consecutiveFast int           // Consecutive fast replies since the last slow one.
	firstSlow       time.Duration // Time of the first slow reply in the score.
	lastSlow        time.Duration // Time of the last slow reply.
	rampWindow      int
	lastCold        time.Duration
	backoff         time.Duration
	backoffUntil    time.Duration
}

// newWarmup returns the state of a searcher that is new to this home. A cold
// limit of 0 is raised to 1, because with 0 the searcher could never become
// warm.
func newWarmup(coldLimit int) warmup {
	limit := max(1, coldLimit)
	return warmup{coldLimit: limit, rampLimit: limit, rampWindow: initialRampWindow}
}

// markCold records a cold start and resets the limit to the cold limit. A
// second cold start within relapseWindow doubles the ramp window.
func (w *warmup) markCold(now time.Duration) {
	switch {
	case w.lastCold != 0 && now-w.lastCold > relapseWindow:
		w.rampWindow = initialRampWindow
	case w.warm || w.rampLimit > w.coldLimit:
		if w.lastCold != 0 {
			w.rampWindow = min(2*w.rampWindow, maxRampWindow)
		}
	}
	w.warm, w.knownCold = false, true
	w.rampLimit, w.successes, w.windowLatency = w.coldLimit, 0, 0
	w.clearSlowScore()
	w.lastCold = now
}

// recordRefusal records that the searcher refused a request because it is cold
// or overloaded.
func (w *warmup) recordRefusal(now time.Duration) {
	meter.Count("home.chill.refusal", 1)
	w.markCold(now)
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.backoffUntil = now + w.backoff
}

// recordReply records a reply. It doubles the limit of a cold searcher after a
// ramp window whose mean latency is normal. The limit does not grow while the
// searcher itself reports that it is cold or the reference is unknown (0).
func (w *warmup) recordReply(now, took, reference time.Duration, slots int, reportsCold bool) {
	w.backoff = 0
	if w.warm || reportsCold {
		return
	}
	w.windowLatency += took
	if w.successes++; w.successes < w.rampWindow {
		return
	}
	mean := w.windowLatency / time.Duration(w.successes)
	w.successes, w.windowLatency = 0, 0
	if reference <= 0 {
		return
	}
	if float64(mean) > maxRampLatencyFactor*float64(reference) {
		meter.Count("home.ramp.slow", 1)
		w.markCold(now)
		return
	}
	meter.Count("home.ramp.step", 1)
	w.rampLimit *= 2
	if w.rampLimit >= slots {
		w.warm, w.knownCold = true, false
		w.clearSlowScore()
	}
}

// recordAbandoned records an attempt that was abandoned without a reply. Its
// time counts in the window, because otherwise the window would hold only the
// fast replies.
func (w *warmup) recordAbandoned(took time.Duration) {
	if !w.warm {
		w.windowLatency += took
	}
}

// clearSlowScore resets the evidence of a cold start.
func (w *warmup) clearSlowScore() { w.slowScore, w.limited = 0, false }

// detectColdStart records the latency of a reply or of an abandoned attempt of
// a warm searcher, and marks the searcher as cold when it is consistently slow.
// peer reports whether the reference is another searcher of the group.
func (w *warmup) detectColdStart(now, took, reference time.Duration, peer bool) {
	if !w.warm || reference <= 0 {
		return
	}
	if took <= slowLatencyFactor*reference {
		w.slowScore -= fastReplyCredit
		if w.consecutiveFast++; w.slowScore <= 0 || w.consecutiveFast >= resetFastReplies {
			w.clearSlowScore()
		}
		return
	}
	if now-w.lastSlow > slowScoreTTL {
		w.slowScore = 0 // Fast replies reset limited; a pause does not.
	}
	w.consecutiveFast, w.lastSlow = 0, now
	if w.slowScore == 0 {
		w.firstSlow = now
	}
	w.slowScore++
	w.limited = w.limited || w.slowScore >= limitScore
	replies, span := float64(coldScore), minSlowSpan
	if !peer {
		replies, span = noPeerFactor*replies, noPeerFactor*span
	}
	if w.slowScore >= replies && now-w.firstSlow >= span {
		meter.Count("home.chill.latency", 1)
		window := w.rampWindow
		w.markCold(now)
		w.rampWindow = window // Latency alone proves no cold start: do not double the window.
	}
}
