package upgrade

import (
	"math"
	"time"
)

const (
	// firstShare is the share of the new version until most of the time has
	// passed; a bad version may get a tenth of all requests.
	firstShare = 0.04
	// loadShare is the share after that, which shows faults that need load. Both
	// together stay below a tenth of all requests.
	loadShare = 0.15
	// loadFrom and completeFrom are the parts of the time at which the new
	// version gets more and the move is completed.
	loadFrom     = 0.6
	completeFrom = 0.85
	// minBad is how many bad answers must be seen before a version is taken for
	// bad, so that single ones of a good version are not enough.
	minBad = 6
	// badMargin is by how much a version may be worse than the old one.
	badMargin = 0.03
	// badDeviations is by how many standard deviations its bad answers must
	// exceed what that allows; the comparison is made after every request.
	badDeviations = 4
)

// State is the state of a move.
type State string

// The states of a move. All but Running are final.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled back"
)

// Next returns the state that follows from the evidence of all daemons, elapsed
// after the order with the time that it gives.
func Next(current State, elapsed, given time.Duration, was, is Tally) State {
	switch {
	case current != Running:
		return current
	case worse(was, is):
		return RolledBack
	case elapsed >= time.Duration(completeFrom*float64(given)):
		return Completed
	}
	return Running
}

// worse reports whether the new version gives more bad answers than chance
// explains.
func worse(was, is Tally) bool {
	allowed := was.rate() + badMargin
	n := float64(is.requests)
	limit := allowed*n + badDeviations*math.Sqrt(allowed*(1-min(allowed, 1))*n)
	return is.bad >= minBad && float64(is.bad) > limit
}

// Share returns the share of requests that the new version gets.
func Share(s State, elapsed, given time.Duration) float64 {
	switch {
	case s == Completed:
		return 1
	case s == RolledBack:
		return 0
	case elapsed >= time.Duration(loadFrom*float64(given)):
		return loadShare
	}
	return firstShare
}
