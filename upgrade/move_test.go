package upgrade

import (
	"math/rand"
	"testing"
	"time"
)

const given = 12 * time.Second

// play moves a service with requests spread over the time of the order. It
// returns the final state, the share of the new version until then and the bad
// answers that it gave.
func play(seed int64, requests int, wasBad, isBad func(elapsed time.Duration) float64) (State, float64, int) {
	rng := rand.New(rand.NewSource(seed))
	state := Running
	var was, is Tally
	credit := 0.0
	for i := range requests {
		elapsed := given * time.Duration(i) / time.Duration(requests)
		credit += Share(state, elapsed, given)
		if credit >= 1 {
			credit--
			is.Count(rng.Float64() < isBad(elapsed))
		} else {
			was.Count(rng.Float64() < wasBad(elapsed))
		}
		if state = Next(state, elapsed, given, was, is); state != Running {
			break
		}
	}
	return state, float64(is.Requests()) / float64(requests), is.Bad()
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Guards against a good version that is rolled back because a few of its
// answers are bad, as those of the old version are.
func TestGoodVersionsComplete(t *testing.T) {
	for seed := range int64(200) {
		if state, _, _ := play(seed, 1200, steady(0.05), steady(0.05)); state != Completed {
			t.Errorf("seed %d: a good version ended %s", seed, state)
		}
	}
}

// Guards against a bad version that completes, gets more than its share, or
// gives more bad answers than may be seen before it gets nothing.
func TestBadVersionsAreRolledBack(t *testing.T) {
	for name, bad := range map[string]func(time.Duration) float64{
		"at once": steady(0.4),
		"later": func(elapsed time.Duration) float64 {
			if elapsed < given/2 {
				return 0.02
			}
			return 0.5
		},
		"under load": func(elapsed time.Duration) float64 {
			if Share(Running, elapsed, given) < loadShare {
				return 0.02
			}
			return 0.5
		},
	} {
		for seed := range int64(200) {
			state, share, answers := play(seed, 1200, steady(0.02), bad)
			if state != RolledBack || share > 0.1 || answers > 50 {
				t.Errorf("%s, seed %d: %s after a share of %.3f and %d bad answers", name, seed, state, share, answers)
			}
		}
	}
}

// Guards against a final state that changes.
func TestFinalStatesStay(t *testing.T) {
	for _, s := range []State{Completed, RolledBack} {
		if got := Next(s, 2*given, given, NewTally(100, 0), NewTally(100, 90)); got != s {
			t.Errorf("%s became %s", s, got)
		}
	}
}
