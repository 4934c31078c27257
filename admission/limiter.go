package admission

import (
	"sync"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/refusal"
)

// Limiter applies this entry's part of the catalogue limits. Its table is
// bounded by the catalogue: it holds one limit for each owner, class of an
// owner and service.
type Limiter struct {
	clk     clock.Clock
	entries func() int

	mu          sync.Mutex
	generation  uint64
	entryLimits map[limitKey]*entryLimit
}

// limitKey identifies what a limit applies to; unused fields are empty.
type limitKey struct {
	owner   string
	class   catalogue.Class
	service string
}

// NewLimiter returns a Limiter. The function entries returns the number of live
// entries that share the limits.
func NewLimiter(clk clock.Clock, entries func() int) *Limiter {
	return &Limiter{clk: clk, entries: entries, entryLimits: make(map[limitKey]*entryLimit)}
}

// Admit counts a request against the limits of its owner, class and service,
// and returns a function that the caller must call when the request ends. A
// refused request uses up nothing. Errors are of type *refusal.Error with the
// kind UnknownOwner, ClassDenied or RateLimited.
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
	l.removeUnlistedLocked(estate)
	admitted := make([]*entryLimit, 0, 3)
	for _, c := range []struct {
		key    limitKey
		limits catalogue.Limits
		scope  string
	}{
		{limitKey{owner: owner, class: class}, classLimits, "owner's class"},
		{limitKey{owner: owner}, o.Limits(), "owner"},
		{limitKey{service: s.Name()}, s.Limits(), "service"},
	} {
		limit := l.entryLimitLocked(c.key)
		limit.configure(now, c.limits, n)
		if reason := limit.admit(now); reason != "" {
			for _, a := range admitted {
				a.rollback(now)
			}
			return nil, refusal.New(refusal.RateLimited, "%s of the %s exceeded at this entry: owner %q, class %q, service %q",
				reason, c.scope, owner, class, s.Name())
		}
		admitted = append(admitted, limit)
	}
	var done sync.Once
	return func() { done.Do(func() { l.release(admitted) }) }, nil
}

func (l *Limiter) release(admitted []*entryLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range admitted {
		limit.inFlight--
		invariant.Check("admission.in_flight", limit.inFlight >= 0, "%d requests in flight", limit.inFlight)
	}
}

func (l *Limiter) entryLimitLocked(k limitKey) *entryLimit {
	limit := l.entryLimits[k]
	if limit == nil {
		limit = newEntryLimit()
		l.entryLimits[k] = limit
	}
	return limit
}

// removeUnlistedLocked removes the limits of owners and services that a newer
// catalogue does not list.
func (l *Limiter) removeUnlistedLocked(estate catalogue.Estate) {
	if estate.Generation() == l.generation {
		return
	}
	l.generation = estate.Generation()
	for k, limit := range l.entryLimits {
		_, owner := estate.Owner(k.owner)
		_, service := estate.Service(k.service)
		if !owner && !service && limit.inFlight == 0 {
			delete(l.entryLimits, k)
		}
	}
}
