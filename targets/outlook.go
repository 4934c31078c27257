package targets

import (
	"math"
	"time"
)

// Outlook is what a further request to a group may expect.
type Outlook struct {
	open     bool
	idle     bool
	expected time.Duration
}

// Open reports whether some target may get a request now.
func (o Outlook) Open() bool { return o.open }

// Idle reports whether this daemon has no request under way at some of these
// targets.
func (o Outlook) Idle() bool { return o.idle }

// Expected returns the time until an answer, if the outlook is open.
func (o Outlook) Expected() time.Duration { return o.expected }

// Outlook returns what a further request of a route with that pace may expect.
func (g *Group) Outlook(pace *Pace) Outlook {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var o Outlook
	least := math.Inf(1)
	for _, t := range g.targets {
		wait, _, ok := g.coldFor(t, now)
		if !ok || wait > 0 || t.gone || t.entry.draining || !t.accepts() {
			continue
		}
		o.open = true
		o.idle = o.idle || len(t.calls) == 0
		least = min(least, t.expected(now, g.zone, len(g.waiting)))
	}
	if o.open {
		o.expected = time.Duration(least * float64(pace.Median()))
	}
	return o
}
