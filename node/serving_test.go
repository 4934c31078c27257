package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
)

// Guards against a large fleet that starts before the registry can be read: all
// daemons would connect to every target, far more than targets accept.
func TestServingSetPreconnects(t *testing.T) {
	registry := strongAndWeakCandidates()
	for _, c := range []struct {
		name     string
		registry []fleet.Candidate
		want     int
	}{{"registry not known", nil, 0}, {"registry known", registry, 4}} {
		preconnecting, serving := 0, 0
		for _, d := range registry {
			s := newServingSet(clock.System{}, d.Name(), func(string) time.Time { return time.Time{} })
			s.setCandidates(c.registry)
			if s.preconnects() {
				preconnecting++
			}
			if index, _ := s.position(); index >= 0 {
				serving++
			}
		}
		if diff := cmp.Diff(c.want, preconnecting); diff != "" {
			t.Errorf("%s: daemons that preconnect (-want +got):\n%s", c.name, diff)
		}
		if c.registry == nil && serving != len(registry) {
			t.Errorf("%s: %d of %d daemons may serve, want all", c.name, serving, len(registry))
		}
	}
}
