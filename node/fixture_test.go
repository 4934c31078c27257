package node

import (
	"fmt"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/mirror"
)

func nopLogger() zerolog.Logger { return zerolog.Nop() }

// targetObjects returns valid target entries of service "s" in failure domain
// "a".
func targetObjects(names ...string) []mirror.Object {
	var os []mirror.Object
	for _, n := range names {
		os = append(os, mirror.NewObject(n, 1, []byte(`{"service":"s","address":"10.1.0.9:80","zone":"a","version":"v1","max_concurrency":2,"state":"ready","warmup_left_ms":0,"sequence":1}`), nil))
	}
	return os
}

// strongAndWeakCandidates returns 40 registered daemons in two failure domains.
// The first four have a strong VM.
func strongAndWeakCandidates() []fleet.Candidate {
	var registry []fleet.Candidate
	for i := range 40 {
		capacity := 0.2
		if i < 4 {
			capacity = 0.8
		}
		registry = append(registry, fleet.NewCandidate(fmt.Sprintf("d%02d", i), fmt.Sprintf("z%d", i%2), fmt.Sprintf("10.0.0.%d:7", i), capacity))
	}
	return registry
}
