package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
)

// Guards against a large fleet whose daemons all connect to every target when
// they start before the registry can be read, far more than targets accept.
func TestWhoConnectsAhead(t *testing.T) {
	registry := mixedRegistry()
	for _, c := range []struct {
		name     string
		registry []fleet.Candidate
		want     int
	}{{"registry not known", nil, 0}, {"registry known", registry, 4}} {
		ahead, serving := 0, 0
		for _, d := range registry {
			s := newServing(clock.System{}, d.Name(), func(string) time.Time { return time.Time{} })
			s.register(c.registry)
			if s.connectsAhead() {
				ahead++
			}
			if place, _ := s.position(); place >= 0 {
				serving++
			}
		}
		if diff := cmp.Diff(c.want, ahead); diff != "" {
			t.Errorf("%s: daemons that connect ahead (-want +got):\n%s", c.name, diff)
		}
		if c.registry == nil && serving != len(registry) {
			t.Errorf("%s: %d of %d daemons may serve, want all", c.name, serving, len(registry))
		}
	}
}
