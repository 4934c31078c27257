package targets

import (
	"math/rand/v2"
	"time"

	"medlaryard.example/medlaryard/cost"
)

const (
	// maxWaitingByTime bounds the memory of a queue that is bounded by time. Calls
	// are far fewer where they take as long as answers usually do.
	maxWaitingByTime = 1024
	// maxAdvice is the longest time after which a refused request is told to
	// come back. Later the load is another one.
	maxAdvice = 2 * time.Second
)

// OfferBy sets the time by which the call is to be sent. A group does not accept it
// if it is expected to wait longer. Without it, the number of waiting calls is
// bounded.
func OfferBy(t time.Time) CallOption { return func(c *Call) { c.offerBy = t } }

// isFull reports whether the queue has no room for the call.
func (g *Group) isFull(c *Call, now time.Time) bool {
	if c.predicted == nil || c.offerBy.IsZero() {
		return len(g.waiting) >= maxWaiting
	}
	return len(g.waiting) >= maxWaitingByTime || g.advice.isEarly(c.req.fingerprint, now) && len(g.waiting) > 0 ||
		g.expectedWait(c, now) > c.offerBy.Sub(now)
}

// expectedWait returns the expected time until a new call is sent.
func (g *Group) expectedWait(c *Call, now time.Time) time.Duration {
	if len(g.waiting) == 0 || g.shares.isStarved(c.priority) {
		return 0
	}
	if c.req.account == "" {
		return g.waitBehind(now, func(w *Call) bool { return w.priority <= c.priority })
	}
	ahead := g.fair.ahead(g.waiting, c.accountAt())
	return g.waitBehind(now, func(*Call) bool { ahead--; return ahead >= 0 })
}

// connSlot is a connection that may be used, with the time until it is free.
type connSlot struct {
	free     float64
	slowness float64 // Of its target.
}

// waitBehind returns the expected time until a connection is free after the waiting
// calls for which ahead is true were sent, each on the connection that is free first.
func (g *Group) waitBehind(now time.Time, ahead func(*Call) bool) time.Duration {
	slots := g.connSlots(now)
	if len(slots) == 0 {
		return 0 // Not known; the limits of the targets and the deadline decide.
	}
	for _, c := range g.waiting {
		if ahead(c) {
			s := firstFree(slots)
			s.free += s.slowness * float64(c.typicalCost())
		}
	}
	return time.Duration(firstFree(slots).free)
}

func firstFree(slots []connSlot) *connSlot {
	first := &slots[0]
	for i := range slots {
		if slots[i].free < first.free {
			first = &slots[i]
		}
	}
	return first
}

// connSlots returns the connections that calls may use.
func (g *Group) connSlots(now time.Time) []connSlot {
	slots := g.slots[:0]
	for _, t := range g.targets {
		a := g.allowance(t, now)
		if !a.permitted || !t.available() {
			continue
		}
		slowness, _ := t.decayedMeans(now)
		slowness = max(slowness, minCostSlowness)
		n := min(g.maxConns, t.entry.slots+spareConnections)
		if slowness > serialSlowness {
			n = 1
		}
		for i := range n {
			s := connSlot{free: float64(a.wait), slowness: slowness}
			if i < len(t.calls) {
				s.free = max(s.free, slowness*float64(t.calls[i].remaining(now)))
			}
			slots = append(slots, s)
		}
	}
	g.slots = slots
	return slots
}

// typicalCost returns the expected service time of a call.
func (c *Call) typicalCost() time.Duration {
	if c.predicted == nil {
		return c.routeLatency.Median()
	}
	return c.predicted.Mean()
}

// maxAdvised bounds the refused requests that are remembered.
const maxAdvised = 512

// advice remembers when refused requests may come back, so that those that come
// earlier gain nothing. The group's lock guards it.
type advice struct {
	until time.Time            // By then, all refused requests are expected to be served.
	due   map[uint64]time.Time // By fingerprint of the request.
}

// isEarly reports whether a request comes before the time that it was told.
func (a *advice) isEarly(fingerprint uint64, now time.Time) bool {
	return now.Before(a.due[fingerprint])
}

// give returns the time for a request that can be served at the earliest after wait
// and occupies the group for each. Requests that are refused one after the other get
// times one after the other. One that repeats early keeps its time.
func (a *advice) give(fingerprint uint64, now time.Time, wait, each time.Duration) time.Duration {
	if a.isEarly(fingerprint, now) {
		return a.due[fingerprint].Sub(now)
	}
	at := now.Add(min(wait, maxAdvice))
	if a.until.After(at) {
		at = a.until
	}
	if last := now.Add(maxAdvice); at.After(last) {
		at = last.Add(-rand.N(maxAdvice / 2)) // More come than can be served by then.
	}
	a.until = at.Add(each)
	if a.due == nil {
		a.due = make(map[uint64]time.Time)
	}
	if len(a.due) >= maxAdvised {
		for f, due := range a.due {
			if !now.Before(due) || len(a.due) >= maxAdvised {
				delete(a.due, f)
			}
		}
	}
	a.due[fingerprint] = at
	return at.Sub(now)
}

// RetryAfter returns the time after which a request that Submit did not accept can
// be served, or 0 if nothing waits. Requests that are refused at the same time get
// different times.
func (g *Group) RetryAfter(r *Request, k *cost.Kind) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if len(g.waiting) == 0 {
		return 0
	}
	slots := 0
	for _, t := range g.targets {
		if t.available() {
			slots += t.entry.slots
		}
	}
	return g.advice.give(r.fingerprint, now, g.waitBehind(now, func(*Call) bool { return true }), k.Predict().Mean()/time.Duration(max(slots, 1)))
}

// IsOffered reports whether the call was sent to a target.
func (g *Group) IsOffered(c *Call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.target != nil
}
