package upgrade

import (
	"maps"
	"slices"
	"time"
)

// markFraction is the fraction of a move's duration between two marks. The share
// of the new version hardly changes within it, except at the beginning of the
// phase under load, which is at a mark.
const markFraction = 0.05

// minIntervalAnswers is the number of answers of the old version in an interval in
// which the versions are compared. Shorter intervals are joined.
const minIntervalAnswers = 10

// allRoutes stands for the sum over all routes in a comparison.
const allRoutes = ""

// History is the evidence on a move over time. Both versions are compared in the
// same intervals, so that a slow period of both is not held against the new one,
// and from each mark on, since a version may turn bad late or under load.
type History struct {
	duration  time.Duration
	latest    Evidence
	marks     []Evidence // The evidence at multiples of markFraction, the first one empty.
	underLoad Evidence   // The evidence at the beginning of the phase under load, or nil before.
	capacity  *Capacity  // The latest one; nil if none is known.
	good      int        // Good answers of the new version.
	// answeredUntil is the time for which the good answers show that the version serves. A
	// history that begins has to see one within markFraction.
	answeredUntil time.Duration
}

// NewHistory returns the history of a move that is to take the given time.
func NewHistory(duration time.Duration) *History {
	return &History{duration: duration, marks: []Evidence{nil}}
}

// Record sets the latest evidence, as of the given time since the order.
func (h *History) Record(elapsed time.Duration, e Evidence) {
	h.latest = e
	total := e.Total().newTally
	good := total.requests - total.bad
	switch {
	case h.answeredUntil == 0:
		h.answeredUntil = elapsed + fraction(h.duration, markFraction)
	case good > h.good:
		h.answeredUntil = elapsed + fraction(h.duration, answerMemoryFraction)
	}
	h.good = good // It falls when a daemon restarts.
	if elapsed >= fraction(h.duration, markFraction*float64(len(h.marks))) && elapsed < h.duration {
		h.marks = append(h.marks, e)
	}
	if h.underLoad == nil && elapsed >= fraction(h.duration, loadShareStart) {
		h.underLoad = e
	}
}

// RecordCapacity sets the latest capacity of both versions.
func (h *History) RecordCapacity(c Capacity) { h.capacity = &c }

// Replaceable reports whether the new version can serve in place of the old one, as far as is
// known.
func (h *History) Replaceable() bool { return h.capacity == nil || h.capacity.replaces() }

// answerMemoryFraction is the fraction of a move's duration for which a good answer of the new
// version shows that it serves.
const answerMemoryFraction = 0.25

// answersAt reports whether the new version has given a good answer lately, as of the given
// time since the order.
func (h *History) answersAt(elapsed time.Duration) bool {
	return elapsed < h.answeredUntil
}

// WorseRoutes returns the routes on which the new version has been worse than the
// old one since some mark, in order. The name "" stands for all together.
func (h *History) WorseRoutes() []string {
	overall := h.latest.Total().oldTally.rate()
	comparisons := make(map[string]comparison, len(h.latest)+1)
	worse := make(map[string]bool)
	end := h.latest
	for i, mark := range slices.Backward(h.marks) {
		interval := end.since(mark)
		old := interval.Total().oldTally
		if i > 0 && old.requests < minIntervalAnswers {
			continue
		}
		end = mark
		intervalRate := old.smoothedRate(overall)
		all, newAnswers := comparisons[allRoutes], 0
		for route, r := range interval {
			rate := max(intervalRate, h.latest[route].oldTally.smoothedRate(overall))
			comparisons[route] = comparisons[route].add(r.newTally, old.requests, rate)
			all = all.add(r.newTally, 0, rate)
			newAnswers += r.newTally.requests
		}
		if newAnswers > 0 {
			all.oldAnswers += old.requests
		}
		comparisons[allRoutes] = all
		for route, c := range comparisons {
			worse[route] = worse[route] || c.worse()
		}
	}
	maps.DeleteFunc(worse, func(_ string, w bool) bool { return !w })
	return slices.Sorted(maps.Keys(worse))
}

// sufficient reports whether each route has as many answers of the new version
// under load as wanted.
func (h *History) sufficient() bool {
	for _, r := range h.latest.since(h.underLoad) {
		if r.newTally.requests < wantedAnswers {
			return false
		}
	}
	return true
}
