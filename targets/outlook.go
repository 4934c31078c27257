package targets

import (
	"math"
	"time"
)

// Outlook is what a further request to a group may expect.
type Outlook struct {
	soon     bool
	open     bool
	idle     bool
	expected time.Duration
}

// Soon reports whether the request would be sent within the time that was asked
// for, as far as the limits of cold targets tell. A group without any target that
// accepts connections has no prospect.
func (o Outlook) Soon() bool { return o.soon }

// Open reports whether some target may get a request now.
func (o Outlook) Open() bool { return o.open }

// Idle reports whether this daemon has no request under way at some of these
// targets.
func (o Outlook) Idle() bool { return o.idle }

// Expected returns the time until an answer, if the outlook is open.
func (o Outlook) Expected() time.Duration { return o.expected }

// Outlook returns what a further request of a route with that pace may expect,
// which is of use if it is sent within that time.
func (g *Group) Outlook(pace *Pace, within time.Duration) Outlook {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var o Outlook
	capacity := 0.0 // Requests that can be sent within the time.
	least := math.Inf(1)
	for _, t := range g.targets {
		wait, limited, ok := g.coldFor(t, now)
		if !ok || !t.open() {
			continue
		}
		switch {
		case !limited:
			capacity = math.Inf(1)
		case wait <= within:
			capacity += 1 + (within-wait).Seconds()*g.cold.share()
		}
		if wait > 0 {
			continue
		}
		o.open = true
		o.idle = o.idle || len(t.calls) == 0
		least = min(least, t.expected(now, g.domain, len(g.waiting)))
	}
	o.soon = capacity >= float64(len(g.waiting)+1)
	if o.open {
		o.expected = time.Duration(least * float64(pace.Median()))
	}
	return o
}
