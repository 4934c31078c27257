package targets

import (
	"math"
	"slices"
	"time"
)

const (
	// slownessWeight is the weight of one answer in the moving average of a
	// target's slowness; five answers are enough to detect a slow target.
	slownessWeight = 0.25
	// slownessHalfLife is the half-life of the slowness and failures of an
	// unused target, so that a recovered target gets requests again.
	slownessHalfLife = 2 * time.Second
	// maxSlowness bounds the contribution of one answer to the average.
	maxSlowness = 30
	// failureWeight is the weight of one outcome in the moving average of
	// failures.
	failureWeight = 0.2
	// failureCost gives a target that fails all requests the cost of one that
	// is five times as slow.
	failureCost = 4
	// silentFactor is the multiple of the median latency for which a call may
	// be unanswered before its target counts as slow.
	silentFactor = 2
	// serialSlowness is the slowness above which a target gets one request at a
	// time.
	serialSlowness = 4
	// crossDomainCost is the added cost of a target in another failure domain,
	// as a multiple of the median latency. It decides among targets of similar
	// cost.
	crossDomainCost = 0.25
	// dialTime is the time to open a connection before the request can be sent.
	dialTime = 8 * time.Millisecond
	// spareConnections is the number of connections to a target beyond its
	// slots. With a spare one, the next request is already at the target when a
	// slot becomes free.
	spareConnections = 1
	// misdirectedPause is how long a target gets no requests after another one
	// answered at its address. By then its entry has expired, which takes three
	// heartbeats of 1.2 s.
	misdirectedPause = 5 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between attempts to
	// connect to an unreachable target.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = time.Second
)

// Target is the state of a target in this daemon, from one start of the target
// to the next. The group's lock guards it.
type Target struct {
	group       *Group
	id          string // Constant, so it is read without the lock.
	address     string // Constant, as id.
	fingerprint uint64 // Constant, as id; see Entry.fingerprint.
	entry       Entry
	listedAt    time.Time // When it was added.

	conns         []*conn
	dialing       int
	calls         []*Call
	removed       bool
	unreachable   bool
	addressReused bool          // Another target uses its address.
	retryAt       time.Time     // When the next connection may be tried after a failure.
	dialFailures  int           // Consecutive failed connection attempts.
	absence       absence       // What the connection attempts since the last successful one show.
	idleTimeout   time.Duration // The idle timeout that it stated last, 0 if none.
	doubt         doubt         // Whether its process may have restarted.
	firstBreak    time.Time     // When the first of the connections that broke together did so.
	lastBreak     time.Time     // When the last of them did.

	broken   []brokenCall // On the connections that broke last.
	brokenAt time.Time    // When a connection broke last.
	endedAt  time.Time    // When it stopped accepting connections last.

	slowness   float64 // Moving average of the latency as a multiple of the route's median.
	failures   float64 // Moving average of the share of failed calls, from 0 to 1.
	observedAt time.Time
	answeredAt time.Time // When it last answered a call.
	meanCost   float64   // Moving average of the expected service time of its calls, in ns.
	coldUntil  time.Time
	coldBucket rateBucket

	limitBucket rateBucket // For the limit that the target has named.
}

// reachable reports whether the target accepts connections at its address.
func (t *Target) reachable() bool { return !t.unreachable && !t.addressReused }

// leaves reports whether the target has stated in an answer that it leaves.
func (t *Target) leaves() bool { return t.group.notices.isLeaving(t.fingerprint) }

// available reports whether new requests may be sent to the target.
func (t *Target) available() bool {
	return !t.removed && !t.entry.draining && t.reachable() && !t.leaves()
}

// decayedMeans returns the moving averages, decayed by the time since the last
// observation.
func (t *Target) decayedMeans(now time.Time) (slowness, failures float64) {
	if t.observedAt.IsZero() {
		return 1, 0
	}
	k := math.Exp2(-float64(now.Sub(t.observedAt)) / float64(slownessHalfLife))
	return 1 + (t.slowness-1)*k, t.failures * k
}

// observe updates the averages with the outcome of a call. Ratio is its latency
// as a multiple of the expected one, 0 if unknown. Weight is its weight relative to
// other calls.
func (t *Target) observe(now time.Time, ratio, weight float64, failed bool) {
	t.slowness, t.failures = t.decayedMeans(now)
	t.observedAt = now
	if ratio > 0 {
		t.slowness += slownessWeight * weight * (math.Min(ratio, maxSlowness) - t.slowness)
	}
	f := 0.0
	if failed {
		f = 1
	}
	t.failures += failureWeight * (f - t.failures)
}

// candidate describes the target for a request of a route with the given median
// latency. Expected is the expected service time of the request, 0 if its kind is
// not known.
func (t *Target) candidate(now time.Time, median, expected time.Duration) Candidate {
	slowness, failures := t.decayedMeans(now)
	for _, c := range t.calls {
		slowness = math.Max(slowness, c.silence(now))
	}
	c := Candidate{
		slowness: slowness, failures: failures, calls: len(t.calls), slots: t.entry.slots,
		domain: t.entry.domain == t.group.domain, median: median, expected: expected,
	}
	if expected > 0 {
		c.remaining = t.remaining(now)
	}
	return c
}

// expectedLatency returns the expected time until the answer to a further
// request, as a multiple of the median latency. Waiting is the length of the
// group's queue.
func (t *Target) expectedLatency(now time.Time, median, expected time.Duration, waiting int) float64 {
	latency := t.group.placement.Latency(t.candidate(now, median, expected))
	if t.slowAndBusy(now) {
		slowness, _ := t.decayedMeans(now)
		each := 1.0
		if expected > 0 {
			each = float64(expected) / float64(median)
		}
		latency += slowness * each * float64(waiting+1)
	}
	return latency
}

// slowAndBusy reports whether a further request would only queue at the target.
// A slow target gets one request at a time from each daemon. Other requests
// wait in the group's queue, from which they can still go to another target or
// be removed.
func (t *Target) slowAndBusy(now time.Time) bool {
	if len(t.calls) == 0 {
		return false
	}
	slowness, _ := t.decayedMeans(now)
	return slowness > serialSlowness
}

// idleConn returns the most recently used idle connection that may carry call,
// or nil.
func (t *Target) idleConn(now time.Time, call *Call) *conn {
	var best *conn
	for _, c := range t.conns {
		if c.call != nil || c.desynchronized || c.nearIdleTimeout(now) || call.wasSentOn(c) || !call.req.idempotent && !c.safeForNonIdempotent(now) {
			continue
		}
		if best == nil || c.idleSince.After(best.idleSince) {
			best = c
		}
	}
	return best
}

// untilProven returns the time until a call that may run once may use the newest
// unused connection, or 0 if it need not wait for one.
func (t *Target) untilProven(now time.Time, call *Call) time.Duration {
	wait := time.Duration(0)
	if call.req.idempotent {
		return wait
	}
	for _, c := range t.conns {
		if c.call == nil && !c.used && !c.desynchronized {
			wait = max(wait, unprovenTime-now.Sub(c.opened))
		}
	}
	return wait
}

// mayDial reports whether another connection is within limit and useful for the
// target's slots.
func (t *Target) mayDial(limit int) bool {
	return len(t.conns)+t.dialing < min(limit, t.entry.slots+spareConnections)
}

// oldestIdleConn returns the least recently used idle connection, or nil.
func (t *Target) oldestIdleConn() *conn {
	var oldest *conn
	for _, c := range t.conns {
		if c.call == nil && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
			oldest = c
		}
	}
	return oldest
}

func (t *Target) removeConn(c *conn) {
	t.conns = slices.DeleteFunc(t.conns, func(other *conn) bool { return other == c })
}

func (t *Target) removeCall(c *Call) {
	t.calls = slices.DeleteFunc(t.calls, func(other *Call) bool { return other == c })
	t.beginWork(t.group.clock.Now())
}
