package upgrade

import (
	"math"
	"time"
)

const (
	// initialShare is the share of the new version until loadShareStart. A bad
	// version may get at most a tenth of all requests.
	initialShare = 0.04
	// loadShare is the share after that, which reveals faults that occur only
	// under load. Averaged over the move, both together stay below a tenth of
	// all requests.
	loadShare = 0.15
	// loadShareStart and completionStart are the fractions of the move's
	// duration after which the share rises to loadShare and the move is
	// completed.
	loadShareStart  = 0.6
	completionStart = 0.85
	// minBadAnswers is the number of bad answers required for a rollback, so
	// that single bad answers of a good version are not enough.
	minBadAnswers = 6
	// badMargin is the amount by which the rate of bad answers may exceed that
	// of the old version.
	badMargin = 0.03
	// badDeviations is the number of standard deviations by which the bad
	// answers must exceed the allowed number. It is large because the
	// comparison is repeated after every request.
	badDeviations = 4
)

// State is the state of a version move.
type State string

// The states of a move. All but Running are final.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled back"
)

// NextState returns the next state of a move. Elapsed is the time since the
// order, duration the time that the order allows for the move. The tallies
// count the answers seen by all daemons.
func NextState(current State, elapsed, duration time.Duration, oldTally, newTally Tally) State {
	switch {
	case current != Running:
		return current
	case isWorse(oldTally, newTally):
		return RolledBack
	case elapsed >= time.Duration(completionStart*float64(duration)):
		return Completed
	}
	return Running
}

// isWorse reports whether the new version gives significantly more bad answers
// than the old one.
func isWorse(oldTally, newTally Tally) bool {
	allowed := oldTally.rate() + badMargin
	n := float64(newTally.requests)
	limit := allowed*n + badDeviations*math.Sqrt(allowed*(1-min(allowed, 1))*n)
	return newTally.bad >= minBadAnswers && float64(newTally.bad) > limit
}

// Share returns the share of requests, from 0 to 1, that the new version gets.
func Share(s State, elapsed, duration time.Duration) float64 {
	switch {
	case s == Completed:
		return 1
	case s == RolledBack:
		return 0
	case elapsed >= time.Duration(loadShareStart*float64(duration)):
		return loadShare
	}
	return initialShare
}
