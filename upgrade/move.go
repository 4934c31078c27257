package upgrade

import "time"

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
	// lateCompletionStart replaces completionStart while a route has fewer answers of
	// the new version than wanted. The remaining time is for publishing the state.
	lateCompletionStart = 0.95
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
// order; the history has the evidence of all daemons. A move is completed only while the
// targets of the new version can replace those of the old one, and rolled back if they
// neither can nor answer when its time is over.
func NextState(current State, elapsed time.Duration, h *History) State {
	switch {
	case current != Running:
		return current
	case len(h.WorseRoutes()) > 0:
		return RolledBack
	case !h.Replaceable():
		if elapsed >= h.duration && !h.answersAt(elapsed) {
			return RolledBack
		}
	case elapsed >= fraction(h.duration, lateCompletionStart),
		elapsed >= fraction(h.duration, completionStart) && h.sufficient():
		return Completed
	}
	return Running
}

// Share returns the share of requests, from 0 to 1, that the new version gets.
func Share(s State, elapsed, duration time.Duration) float64 {
	switch {
	case s == Completed:
		return 1
	case s == RolledBack:
		return 0
	case elapsed >= fraction(duration, loadShareStart):
		return loadShare
	}
	return initialShare
}
