package admission

import (
	"sync"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/refusal"
)

// Limiter applies this entry's part of the limits. Its table is bounded by the
// catalogue.
type Limiter struct {
	clk     clock.Clock
	entries func() int

	mu         sync.Mutex
	generation uint64
	gates      map[key]*gate
}

// key identifies what a limit is set on; fields that it does not concern are empty.
type key struct {
	owner   string
	class   catalogue.Class
	service string
}

// NewLimiter returns a Limiter. The function returns the number of live
// entries that share the limits.
func NewLimiter(clk clock.Clock, entries func() int) *Limiter {
	return &Limiter{clk: clk, entries: entries, gates: make(map[key]*gate)}
}

// Admit takes a request into account until the returned function is called. A
// refused request takes nothing.
func (l *Limiter) Admit(estate catalogue.Estate, owner string, class catalogue.Class, s *catalogue.Service) (func(), error) {
	o, ok := estate.Owner(owner)
	if !ok {
		return nil, refusal.New(refusal.UnknownOwner, "owner %q is not in the catalogue", owner)
	}
	classLimits, ok := o.ClassLimits()[class]
	if !ok {
		return nil, refusal.New(refusal.ClassDenied, "owner %q may not use class %q", owner, class)
	}
	n := max(1, l.entries())
	now := time.Unix(0, 0).Add(l.clk.Boot())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweepLocked(estate)
	taken := make([]*gate, 0, 3)
	for _, c := range []struct {
		key    key
		limits catalogue.Limits
		of     string
	}{
		{key{owner: owner, class: class}, classLimits, "owner's class"},
		{key{owner: owner}, o.Limits(), "owner"},
		{key{service: s.Name()}, s.Limits(), "service"},
	} {
		g := l.gateLocked(c.key)
		g.set(now, c.limits, n)
		if reason := g.take(now); reason != "" {
			for _, t := range taken {
				t.undo(now)
			}
			return nil, refusal.New(refusal.RateLimited, "%s of the %s at this entry", reason, c.of)
		}
		taken = append(taken, g)
	}
	var done sync.Once
	return func() { done.Do(func() { l.release(taken) }) }, nil
}

func (l *Limiter) release(taken []*gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range taken {
		g.inFlight--
		invariant.Check("admission.in_flight", g.inFlight >= 0, "%d requests in flight", g.inFlight)
	}
}

func (l *Limiter) gateLocked(k key) *gate {
	g := l.gates[k]
	if g == nil {
		g = newGate()
		l.gates[k] = g
	}
	return g
}

// sweepLocked removes gates of entries that a newer catalogue does not list.
func (l *Limiter) sweepLocked(estate catalogue.Estate) {
	if estate.Generation() == l.generation {
		return
	}
	l.generation = estate.Generation()
	for k, g := range l.gates {
		_, owner := estate.Owner(k.owner)
		_, service := estate.Service(k.service)
		if !owner && !service && g.inFlight == 0 {
			delete(l.gates, k)
		}
	}
}
