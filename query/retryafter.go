package query

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minRetryAfter is the time in which a lost connection to a target is
	// usually restored.
	minRetryAfter = 150 * time.Millisecond
	// retryAfterJitter prevents callers that were refused at the same time from
	// retrying at the same time.
	retryAfterJitter = 100 * time.Millisecond
	// maxLateRetryFraction is the maximum delay as a fraction of the caller's
	// remaining time, if the answer will be late in any case.
	maxLateRetryFraction = 1.0 / 3
	// lateRetryJitter is the fraction of that delay over which these retries
	// are spread.
	lateRetryJitter = 0.3
)

// retryAfter returns the delay after which a caller should retry a request that
// no target could serve. The delay is short if the answer to the retry can
// still meet the objective. Otherwise the answer is late in any case, and a
// longer delay makes it more likely that targets have recovered; callers make
// few attempts.
func (s schedule) retryAfter(now time.Time) time.Duration {
	soon := minRetryAfter + rand.N(retryAfterJitter)
	if now.Add(soon + s.medianLatency).Before(s.objective) {
		return soon
	}
	if !now.Before(s.end) {
		return soon // The caller's time is over; this tells when a new request may succeed.
	}
	maxDelay := maxLateRetryFraction * float64(s.end.Sub(now))
	return time.Duration(maxDelay * (1 - lateRetryJitter*rand.Float64()))
}

// retryAfterLimits returns the delay after which a caller should retry a request
// for which too few parts could be sent in time. It is not shorter than the time
// until the limits of the targets permit as many parts as are lacking.
func (r *run) retryAfterLimits(parts []*part, lacking int, now time.Time) time.Duration {
	delay := r.retryAfter(now)
	var waits []time.Duration
	for _, p := range parts {
		if e := p.estimate; !e.SendsInTime() && e.Wait() > 0 {
			waits = append(waits, e.Wait())
		}
	}
	if lacking < 1 || len(waits) < lacking {
		return delay
	}
	slices.Sort(waits)
	return max(delay, waits[lacking-1]+rand.N(retryAfterJitter))
}
