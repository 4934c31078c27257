package upgrade

import (
	"math/rand"
	"testing"
	"time"
)

const moveDuration = 12 * time.Second

// simulateMove runs a move with requests spread evenly over moveDuration. It
// returns the final state, the requests to the new version as a share of all,
// and the number of its bad answers.
func simulateMove(seed int64, requests int, oldBadRate, newBadRate func(elapsed time.Duration) float64) (State, float64, int) {
	rng := rand.New(rand.NewSource(seed))
	state := Running
	var oldTally, newTally Tally
	credit := 0.0
	for i := range requests {
		elapsed := moveDuration * time.Duration(i) / time.Duration(requests)
		credit += Share(state, elapsed, moveDuration)
		if credit >= 1 {
			credit--
			newTally.Count(rng.Float64() < newBadRate(elapsed))
		} else {
			oldTally.Count(rng.Float64() < oldBadRate(elapsed))
		}
		if state = NextState(state, elapsed, moveDuration, oldTally, newTally); state != Running {
			break
		}
	}
	return state, float64(newTally.Requests()) / float64(requests), newTally.Bad()
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Guards against rolling back a good version because a few of its answers are
// bad, at the same rate as those of the old version.
func TestNextStateCompletesGoodVersion(t *testing.T) {
	for seed := range int64(200) {
		if state, _, _ := simulateMove(seed, 1200, constantRate(0.05), constantRate(0.05)); state != Completed {
			t.Errorf("seed %d: a good version ended %s", seed, state)
		}
	}
}

// Guards against a bad version that is not rolled back, gets more than a tenth
// of the requests, or gives more than 50 bad answers before the rollback.
func TestNextStateRollsBackBadVersion(t *testing.T) {
	for name, bad := range map[string]func(time.Duration) float64{
		"at once": constantRate(0.4),
		"later": func(elapsed time.Duration) float64 {
			if elapsed < moveDuration/2 {
				return 0.02
			}
			return 0.5
		},
		"under load": func(elapsed time.Duration) float64 {
			if Share(Running, elapsed, moveDuration) < loadShare {
				return 0.02
			}
			return 0.5
		},
	} {
		for seed := range int64(200) {
			state, share, answers := simulateMove(seed, 1200, constantRate(0.02), bad)
			if state != RolledBack || share > 0.1 || answers > 50 {
				t.Errorf("%s, seed %d: ended %s after a share of %.3f and %d bad answers, want rolled back, at most 0.1 and 50", name, seed, state, share, answers)
			}
		}
	}
}

// Guards against leaving a final state.
func TestNextStateFinalStates(t *testing.T) {
	for _, s := range []State{Completed, RolledBack} {
		if got := NextState(s, 2*moveDuration, moveDuration, NewTally(100, 0), NewTally(100, 90)); got != s {
			t.Errorf("%s became %s", s, got)
		}
	}
}
