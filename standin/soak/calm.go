package soak

import (
	"fmt"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/metastore"
	"medlaryard.example/medlaryard/standin/shards"
)

const (
	// evacuationExtra is how much longer an evacuation may take than a
	// configuration.
	evacuationExtra = 2 * time.Second
	// namedLimit is the limit of requests a second that a target names. Within
	// limitWindow it must get no more than maxLimited requests, from limitSettle
	// after it first named the limit.
	namedLimit  = 10
	limitWindow = 4 * time.Second
	limitSettle = 4 * time.Second
	maxLimited  = 1.5*namedLimit*4 + 5
	// quietTime is the time without requests after which a target counts as
	// unused. Callers send many requests within it.
	quietTime = time.Second
)

// checkWithdrawal evacuates a failure domain and deletes the entry of a target
// while the store's watches are silent, and lets another target name a limit. It
// returns the targets that get requests nevertheless; those that are withdrawn
// may get them for the given time.
func (s *Soak) checkWithdrawal(within time.Duration) []string {
	deleted, limited := s.findTarget("shard0-1"), s.findTarget("plays-1")
	var evacuated []*proxiedTarget
	for _, t := range s.targets {
		if t.zone == "a" {
			evacuated = append(evacuated, t)
		}
	}
	start := time.Now()
	s.store.Inject(metastore.SilentWatches())
	s.store.Put(platform.KindEvacuations, "a", map[string]any{})
	s.store.Delete(platform.KindTargets, deleted.ID())
	limited.SetBehaviour(healthyBehaviour().With(shards.Header(platform.HeaderLimit, fmt.Sprint(namedLimit))))
	var violations []string
	for _, c := range []struct {
		what    string
		targets []*proxiedTarget
		within  time.Duration
	}{
		{"a target without an entry", []*proxiedTarget{deleted}, within},
		{"an evacuated failure domain", evacuated, within + evacuationExtra},
	} {
		last := lastRequest(c.targets, start, start.Add(c.within)).Sub(start)
		if last > c.within {
			violations = append(violations, fmt.Sprintf("requests reach %s after %v", c.what, last.Round(time.Millisecond)))
		}
		fmt.Fprintf(s.out, "%s was last used %v after the change at most\n", c.what, last.Round(time.Millisecond))
	}
	time.Sleep(time.Until(start.Add(limitSettle + 2*limitWindow)))
	n := limited.MaxArrivalsSince(start.Add(limitSettle), limitWindow)
	if n > maxLimited {
		violations = append(violations, fmt.Sprintf("%d requests in %v at a target with a limit of %d a second, the bound is %v", n, limitWindow, namedLimit, maxLimited))
	}
	fmt.Fprintf(s.out, "%d requests in %v at the target with a limit\n", n, limitWindow)
	return violations
}

func (s *Soak) findTarget(id string) *proxiedTarget {
	for _, t := range s.targets {
		if t.ID() == id {
			return t
		}
	}
	panic("no target " + id) // A mistake in this package.
}

// lastRequest returns when the targets got their last request, or start if they got
// none since then. It waits until they have got none for quietTime, or until
// quietTime after the limit.
func lastRequest(ts []*proxiedTarget, start, limit time.Time) time.Time {
	for {
		time.Sleep(quietTime / 10)
		last := start
		for _, t := range ts {
			if at := t.LastArrival(); at.After(last) {
				last = at
			}
		}
		if now := time.Now(); now.Sub(last) >= quietTime || now.Sub(limit) >= quietTime {
			return last
		}
	}
}
