package targets

import (
	"math"
	"slices"
	"time"
)

const (
	// slownessWeight is the weight of one answer in the running mean of a
	// target's slowness; five answers make a slow target known.
	slownessWeight = 0.25
	// slownessHalfLife is how fast an unused target is taken for usual again, so
	// that one that has recovered gets work.
	slownessHalfLife = 2 * time.Second
	// maxSlowness bounds one answer's part in the mean.
	maxSlowness = 30
	// failureWeight is the weight of one outcome in the running mean of failures.
	failureWeight = 0.2
	// failureCost makes a target that fails all requests as dear as one that is
	// five times as slow.
	failureCost = 4
	// silentFactor is how many usual latencies a request may be out before its
	// target counts as slow because of it.
	silentFactor = 2
	// crowdedFrom is the slowness from which a target gets one request at a time.
	crowdedFrom = 4
	// farCost is the cost of a target in another failure domain, in usual
	// latencies. It decides among targets that are otherwise alike.
	farCost = 0.25
	// dialCost is the time that a new connection takes before the request can
	// be sent.
	dialCost = 8 * time.Millisecond
	// spareConnections is how many connections beyond its slots a daemon makes
	// to one target, so that the next request is there when a slot is free.
	spareConnections = 1
	// movedRest is how long a target gets nothing after another one answered at its
	// address. By then its entry has lapsed, which takes three heartbeats of 1.2 s.
	movedRest = 5 * time.Second
	// firstRetry and lastRetry bound the time between attempts to connect to a
	// target that does not accept connections.
	firstRetry = 150 * time.Millisecond
	lastRetry  = time.Second
)

// Target is one start of a target as this daemon knows it. The group's lock
// guards it.
type Target struct {
	group       *Group
	id          string // The same in all entries of this start, so read without the lock.
	address     string // As id.
	fingerprint uint64 // Of identity and start, as id.
	entry       Entry

	conns   []*conn
	dialing int
	calls   []*Call
	gone    bool
	down    bool
	moved   bool      // Another target has its address.
	retry   time.Time // When a connection may be tried again after a failure.
	refused int       // Attempts to connect that failed in a row.

	suspects []uint64  // Requests whose connections broke last, by fingerprint.
	broke    time.Time // When they broke.

	slowness float64
	failures float64
	observed time.Time
	coldTill time.Time
	cold     coldLimit
}

// accepts reports whether the target can be reached.
func (t *Target) accepts() bool { return !t.down && !t.moved }

// open reports whether new requests may be sent to the target.
func (t *Target) open() bool { return !t.gone && !t.entry.draining && t.accepts() }

// decayed returns the running means as of now.
func (t *Target) decayed(now time.Time) (slowness, failures float64) {
	if t.observed.IsZero() {
		return 1, 0
	}
	k := math.Exp2(-float64(now.Sub(t.observed)) / float64(slownessHalfLife))
	return 1 + (t.slowness-1)*k, t.failures * k
}

// observe takes in the outcome of a call and its latency in usual latencies; a
// ratio of 0 tells nothing of latency.
func (t *Target) observe(now time.Time, ratio float64, failed bool) {
	t.slowness, t.failures = t.decayed(now)
	t.observed = now
	if ratio > 0 {
		t.slowness += slownessWeight * (math.Min(ratio, maxSlowness) - t.slowness)
	}
	f := 0.0
	if failed {
		f = 1
	}
	t.failures += failureWeight * (f - t.failures)
}

// cost is the expected time until an answer, in usual latencies.
func (t *Target) cost(now time.Time, domain string) float64 {
	slowness, failures := t.decayed(now)
	for _, c := range t.calls {
		median := c.pace.Median()
		if out := now.Sub(c.sent); out > silentFactor*median {
			slowness = math.Max(slowness, float64(out)/float64(median))
		}
	}
	load := 1 + float64(len(t.calls))/float64(t.entry.slots)
	cost := slowness * load * (1 + failureCost*failures)
	if t.entry.domain != domain {
		cost += farCost
	}
	return cost
}

// expected returns the expected time until an answer to a further request, in
// usual latencies, with so many requests waiting here for the group's targets.
func (t *Target) expected(now time.Time, domain string, waiting int) float64 {
	cost := t.cost(now, domain)
	if t.crowded(now) {
		slowness, _ := t.decayed(now)
		cost += slowness * float64(waiting+1)
	}
	return cost
}

// crowded reports whether a further request would only wait at the target. A
// slow one gets one request at a time from each daemon; the others wait here,
// where they can still go elsewhere or be withdrawn.
func (t *Target) crowded(now time.Time) bool {
	if len(t.calls) == 0 {
		return false
	}
	slowness, _ := t.decayed(now)
	return slowness > crowdedFrom
}

// idle returns the connection that was used last and may carry a request, or nil.
func (t *Target) idle(now time.Time, idempotent bool) *conn {
	var best *conn
	for _, c := range t.conns {
		if c.call != nil || c.spoiled || c.expired(now) || !idempotent && !c.fresh(now) {
			continue
		}
		if best == nil || c.idle.After(best.idle) {
			best = c
		}
	}
	return best
}

// mayDial reports whether another connection is within limit and of use.
func (t *Target) mayDial(limit int) bool {
	return len(t.conns)+t.dialing < min(limit, t.entry.slots+spareConnections)
}

// stalest returns the idle connection that was used longest ago, or nil.
func (t *Target) stalest() *conn {
	var oldest *conn
	for _, c := range t.conns {
		if c.call == nil && (oldest == nil || c.idle.Before(oldest.idle)) {
			oldest = c
		}
	}
	return oldest
}

// maxSuspects bounds the requests that are kept for a crash; a target has fewer
// connections than that.
const maxSuspects = 16

// suspect keeps a request whose connection broke, in case the target crashed.
func (t *Target) suspect(fingerprint uint64, now time.Time) {
	if now.Sub(t.broke) > crashWindow {
		t.suspects = nil
	}
	t.broke = now
	if len(t.suspects) < maxSuspects {
		t.suspects = append(t.suspects, fingerprint)
	}
}

func (t *Target) removeConn(c *conn) {
	t.conns = slices.DeleteFunc(t.conns, func(other *conn) bool { return other == c })
}

func (t *Target) removeCall(c *Call) {
	t.calls = slices.DeleteFunc(t.calls, func(other *Call) bool { return other == c })
}
