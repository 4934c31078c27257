package upgrade

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The rules by which package targets judges calls, and package query hedges them.
const (
	slowAnswer    = 3.0 // Multiple of the median latency.
	hedgeAfter    = 1.8
	givenUpAfter  = 8.0
	leastGivenUp  = 350 * time.Millisecond
	graceAfterEnd = 200 * time.Millisecond // After the client has left.
	callMedian    = 45 * time.Millisecond
	callSpread    = 0.25
)

// callCase is one cell of the table: how a version is bad, and how its calls end.
type callCase struct {
	portion  float64 // Of the answers that are bad.
	factor   float64 // They take so many times as long; 0 if they fail instead.
	attempts int
	timeout  time.Duration
	perSec   int
	leaving  float64 // The portion of clients that leave after twice the median latency.
}

func (c callCase) String() string {
	return fmt.Sprintf("portion %v, factor %v, %d attempts, timeout %v, %d requests/s, %v leave", c.portion, c.factor, c.attempts, c.timeout, c.perSec, c.leaving)
}

// detectable reports whether the calls of an order certainly show that the version is bad:
// the evidence that they are expected to give is three times the wanted one.
func (c callCase) detectable() bool {
	newCalls := float64(c.perSec) * moveDuration.Seconds() * (loadShareStart*initialShare + (completionStart-loadShareStart)*loadShare)
	oldCalls := float64(c.perSec) * moveDuration.Seconds() * completionStart
	// Calls of clients that leave count as bad if they take longer than that.
	base := c.leaving * 0.01
	allowed, rate := badFactor*base+badMargin, c.portion+(1-c.portion)*base
	common := (rate*newCalls + allowed*oldCalls) / (newCalls + oldCalls)
	evidence := newCalls*relativeEntropy(rate, common) + oldCalls*relativeEntropy(allowed, common)
	return rate > allowed && evidence > 3*badEvidence && newCalls*c.portion > 3*minBadAnswers
}

// ended is the evidence that a call leaves.
type ended struct {
	at         time.Duration
	isNew, bad bool
	judged     bool
}

// call plays one call that is sent at a time. It returns its evidence.
func (c callCase) call(rng *rand.Rand, at time.Duration, isNew bool) ended {
	serviceTime := func(bad bool) (took time.Duration, fails bool) {
		took = time.Duration(float64(callMedian) * math.Exp(callSpread*rng.NormFloat64()))
		if bad && c.factor > 0 {
			return time.Duration(float64(took) * c.factor), false
		}
		return took, bad
	}
	took, fails := serviceTime(isNew && rng.Float64() < c.portion)
	waits := c.timeout
	if c.attempts > 1 {
		other, _ := serviceTime(false)
		waits = min(waits, time.Duration(hedgeAfter*float64(callMedian))+other)
	}
	closed := max(leastGivenUp, time.Duration(givenUpAfter*float64(callMedian)))
	if left := 2 * callMedian; rng.Float64() < c.leaving && left < min(waits, took) {
		closed = min(closed, left+graceAfterEnd)
	}
	closed = max(closed, waits) // Nobody closes it while it is waited for.
	slow := time.Duration(slowAnswer * float64(callMedian))
	switch {
	case took > slow && closed > slow:
		return ended{at + slow, isNew, true, true}
	case took <= closed:
		return ended{at + took, isNew, fails || took > slow, true}
	}
	return ended{at + closed, isNew, true, closed > callMedian}
}

// play plays one order. It returns its final state and whether the new version got more
// requests than a bad one may.
func (c callCase) play(seed uint64) (state State, exposed bool) {
	rng := rand.New(rand.NewPCG(seed, 15))
	h, collector := NewHistory(moveDuration), NewCollector()
	shares, credit, toNew := SharesFor(Running, 0, h), 0.0, 0
	state = Running
	var open []ended
	n := c.perSec * int(moveDuration.Seconds())
	next := decisionInterval
	for i := range n {
		at := moveDuration * time.Duration(i) / time.Duration(n)
		for at >= next {
			kept := open[:0]
			for _, e := range open {
				switch {
				case e.at > next-evidenceDelay:
					kept = append(kept, e)
				case e.judged:
					collector.Record("r", e.isNew, e.bad)
				}
			}
			open = kept
			h.Record(next, collector.Evidence())
			state = NextState(state, next, h)
			shares = SharesFor(state, next, h)
			next += decisionInterval
		}
		credit += shares.Of("r")
		isNew := credit >= 1
		if isNew {
			credit--
			toNew++
		}
		open = append(open, c.call(rng, at, isNew))
	}
	return state, float64(toNew) > maxNewShare*float64(n)+50
}

// callCases returns the table.
func callCases() (good, bad []callCase) {
	for _, attempts := range []int{1, 2} {
		for _, timeout := range []time.Duration{400 * time.Millisecond, 10 * time.Second} {
			for _, perSec := range []int{50, 150, 600} {
				for _, leaving := range []float64{0, 0.3} {
					c := callCase{attempts: attempts, timeout: timeout, perSec: perSec, leaving: leaving}
					good = append(good, c)
					for _, c.portion = range []float64{0.1, 0.2, 0.35, 0.5, 1} {
						for _, c.factor = range []float64{0, 5, 10, 30} {
							bad = append(bad, c)
						}
					}
				}
			}
		}
	}
	return good, bad
}

// Guards against a version that looks good because its bad calls leave no evidence: those
// that are hedged away, abandoned, timed out or cancelled by their clients; and against a
// good version that is rolled back because calls end so. MEDLARYARD_MODEL_ORDERS sets the
// number of orders.
func TestEveryEndOfACallIsEvidence(t *testing.T) {
	orders := 5000
	if s := os.Getenv("MEDLARYARD_MODEL_ORDERS"); s != "" {
		var err error
		if orders, err = strconv.Atoi(s); err != nil {
			t.Fatal(err)
		}
	}
	good, bad := callCases()
	type result struct{ orders, wrong, exposed int }
	play := func(c callCase, seeds int, wanted State) result {
		r := result{orders: seeds}
		for seed := range uint64(seeds) {
			state, exposed := c.play(seed)
			if state != wanted {
				r.wrong++
			}
			if wanted == RolledBack && exposed {
				r.exposed++
			}
		}
		return r
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	limit := make(chan struct{}, runtime.GOMAXPROCS(0))
	run := func(cs []callCase, seeds int, wanted State) (total result, worst map[string]result) {
		worst = make(map[string]result)
		for _, c := range cs {
			wg.Go(func() {
				limit <- struct{}{}
				r := play(c, seeds, wanted)
				<-limit
				mu.Lock()
				defer mu.Unlock()
				total.orders, total.wrong, total.exposed = total.orders+r.orders, total.wrong+r.wrong, total.exposed+r.exposed
				if r.wrong+r.exposed > 0 {
					worst[c.String()] = r
				}
			})
		}
		wg.Wait()
		return total, worst
	}
	var shown []callCase
	for _, c := range bad {
		if c.detectable() {
			shown = append(shown, c)
		}
	}
	goodOrders, worstGood := run(good, max(1, orders/2/len(good)), Completed)
	badOrders, worstBad := run(shown, max(1, orders/2/len(shown)), RolledBack)
	t.Logf("good versions: %+v; bad versions: %+v in %d of %d cases, of which the calls show %d", goodOrders, badOrders, len(shown), len(bad), len(shown))
	if goodOrders.wrong*1000 > goodOrders.orders {
		t.Errorf("%d of %d good versions are not completed, want at most one in 1,000: %s", goodOrders.wrong, goodOrders.orders, cmp.Diff(map[string]result{}, worstGood, cmp.AllowUnexported(result{})))
	}
	if (badOrders.wrong+badOrders.exposed)*100 > badOrders.orders {
		t.Errorf("%d of %d bad versions are completed and %d get too many requests, want at most one in 100 in all: %.3000s", badOrders.wrong, badOrders.orders, badOrders.exposed, cmp.Diff(map[string]result{}, worstBad, cmp.AllowUnexported(result{})))
	}
}
