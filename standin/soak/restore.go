package soak

import (
	"fmt"
	"slices"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/metastore"
)

const (
	// restoreOutage is how long the store is away before it is restored.
	restoreOutage = time.Second
	// rewriteTime is the time in which the operator and the targets write again
	// what the store has lost.
	rewriteTime = 2 * time.Second
)

// restoreStore restores the store, once or twice, from a copy that is d old or
// from one that is older than the daemons' entries. The configuration that was
// written since the copy is lost until it is written again.
func (s *Soak) restoreStore(d time.Duration) {
	older := s.store.Copy()
	if s.randIntn(2) == 0 {
		older = s.initial
	}
	s.putConfig()
	time.Sleep(d)
	s.store.Inject(metastore.Down())
	time.Sleep(restoreOutage)
	s.store.Restore(older)
	s.store.Inject(metastore.Healthy())
	if s.randIntn(2) == 0 {
		time.Sleep(time.Duration(s.randIntn(300)) * time.Millisecond)
		s.store.Restore(older)
	}
	time.Sleep(time.Duration(s.randIntn(int(rewriteTime.Milliseconds()))) * time.Millisecond)
	for _, t := range s.targets {
		s.store.Put(platform.KindTargets, t.ID(), t.entry)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put(platform.KindConfig, "main", s.config)
}

// checkRegistered returns the daemons whose entries are not in the store. They
// must be back by the time at which all faults have ended and settled.
func (s *Soak) checkRegistered() []string {
	names := s.store.Names(platform.KindDaemons)
	var violations []string
	for _, d := range s.daemons {
		if !slices.Contains(names, d.name) {
			violations = append(violations, fmt.Sprintf("the store has no entry of %s", d.name))
		}
	}
	return violations
}
