package admission

import (
	"time"

	"golang.org/x/time/rate"

	"medlaryard.example/medlaryard/catalogue"
)

// burstDuration sets the burst of a rate limit: the requests that the rate
// allows in this time may arrive at once. Callers keep the address of an entry
// for 5 s, so their requests arrive unevenly.
const burstDuration = time.Second

// entryLimit is one entry's part of one catalogue limit.
type entryLimit struct {
	limits          catalogue.Limits
	entries         int
	rate            *rate.Limiter
	lastReservation *rate.Reservation
	concurrency     int // 0 stands for no limit.
	inFlight        int
}

func newEntryLimit() *entryLimit { return &entryLimit{rate: rate.NewLimiter(rate.Inf, 1)} }

// configure installs one of n equal parts of the limits.
func (e *entryLimit) configure(now time.Time, limits catalogue.Limits, n int) {
	if limits == e.limits && n == e.entries {
		return
	}
	e.limits, e.entries = limits, n
	r := limits.Rate() / float64(n)
	burst := max(1, int(r*burstDuration.Seconds()))
	switch {
	case r <= 0:
		e.rate = rate.NewLimiter(rate.Inf, 1)
	case e.rate.Limit() == rate.Inf:
		// A limiter with an infinite rate has no tokens, so changing its rate
		// would start without the burst.
		e.rate = rate.NewLimiter(rate.Limit(r), burst)
	default:
		e.rate.SetLimitAt(now, rate.Limit(r))
		e.rate.SetBurstAt(now, burst)
	}
	e.concurrency = 0
	if c := limits.Concurrency(); c > 0 {
		// If the limit is less than n, each entry still admits one.
		e.concurrency = max(1, c/n)
	}
}

// admit admits one request and returns "", or returns the name of the limit
// that the request exceeds.
func (e *entryLimit) admit(now time.Time) string {
	if e.concurrency > 0 && e.inFlight >= e.concurrency {
		return "limit of requests in flight"
	}
	r := e.rate.ReserveN(now, 1)
	if !r.OK() || r.DelayFrom(now) > 0 {
		r.CancelAt(now)
		return "request rate limit"
	}
	e.lastReservation = r
	e.inFlight++
	return ""
}

// rollback undoes the latest admit.
func (e *entryLimit) rollback(now time.Time) {
	e.lastReservation.CancelAt(now)
	e.inFlight--
}
