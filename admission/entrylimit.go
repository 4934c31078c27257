package admission

import (
	"time"

	"golang.org/x/time/rate"

	"medlaryard.example/medlaryard/catalogue"
)

// burstTime is the time for which a gate may admit at once. Callers keep an
// address for 5 s, so their requests reach an entry unevenly.
const burstTime = time.Second

// gate is one limit at this entry.
type gate struct {
	limits      catalogue.Limits
	entries     int
	rate        *rate.Limiter
	last        *rate.Reservation
	concurrency int // 0 for no bound.
	inFlight    int
}

func newGate() *gate { return &gate{rate: rate.NewLimiter(rate.Inf, 1)} }

// set applies one of n parts of the limits.
func (g *gate) set(now time.Time, limits catalogue.Limits, n int) {
	if limits == g.limits && n == g.entries {
		return
	}
	g.limits, g.entries = limits, n
	r := limits.Rate() / float64(n)
	burst := max(1, int(r*burstTime.Seconds()))
	switch {
	case r <= 0:
		g.rate = rate.NewLimiter(rate.Inf, 1)
	case g.rate.Limit() == rate.Inf:
		// A limiter that was infinite would start without its burst.
		g.rate = rate.NewLimiter(rate.Limit(r), burst)
	default:
		g.rate.SetLimitAt(now, rate.Limit(r))
		g.rate.SetBurstAt(now, burst)
	}
	g.concurrency = 0
	if c := limits.Concurrency(); c > 0 {
		// With fewer than n in all, each entry still admits one.
		g.concurrency = max(1, c/n)
	}
}

// take admits one request, or returns the bound that it breaks.
func (g *gate) take(now time.Time) string {
	if g.concurrency > 0 && g.inFlight >= g.concurrency {
		return "highest number of requests in flight"
	}
	r := g.rate.ReserveN(now, 1)
	if !r.OK() || r.DelayFrom(now) > 0 {
		r.CancelAt(now)
		return "request rate"
	}
	g.last = r
	g.inFlight++
	return ""
}

// undo takes back the latest take.
func (g *gate) undo(now time.Time) {
	g.last.CancelAt(now)
	g.inFlight--
}
