package evaluate_test

import (
	"os"
	"testing"

	"medlaryard.example/medlaryard/catalogue/evaluate"
)

// Guards against examples that are rejected or whose sizes differ from those of the
// users' deployments.
func TestExampleSizes(t *testing.T) {
	tests := []struct {
		file, service      string
		domains            int
		shards, searchers  int
		slots, connections int
		nonIdempotent      bool
	}{
		{"tamasha", "host-console", 4, 20, 40, 2, 25, false},
		{"tamasha", "rights-ledger", 4, 30, 60, 2, 25, false},
		{"tamasha", "queue-board", 4, 1, 7, 3, 100, true},
		{"tamasha", "catalogue-intake", 4, 1, 4, 3, 100, true},
		{"haneul", "case-finder", 3, 20, 40, 3, 30, false},
		{"haneul", "mesh-shelf", 3, 30, 60, 3, 30, false},
		{"haneul", "report-desk", 3, 1, 10, 6, 50, true},
		{"haneul", "validation-records", 3, 1, 4, 6, 50, true},
		{"small", "songs", 2, 4, 8, 2, 25, false},
		{"small", "queue", 2, 1, 3, 3, 100, true},
	}
	for _, tt := range tests {
		t.Run(tt.file+"/"+tt.service, func(t *testing.T) {
			text, err := os.ReadFile("../../examples/" + tt.file + ".yaml")
			if err != nil {
				t.Fatal(err)
			}
			estate, err := evaluate.Text(tt.file, text, 7)
			if err != nil {
				t.Fatal(err)
			}
			s, ok := estate.Service(tt.service)
			if !ok || estate.Generation() != 7 || len(estate.Domains()) != tt.domains {
				t.Fatalf("service found %v, generation %d, %d domains", ok, estate.Generation(), len(estate.Domains()))
			}
			n := 0
			for _, sh := range s.Shards() {
				for _, r := range sh.Searchers() {
					n++
					if r.Slots() != tt.slots || r.Connections() != tt.connections || r.ColdLimit() != 1 || r.Owner() != s.Owner() {
						t.Errorf("searcher %s: slots %d, connections %d, cold limit %d, owner %s", r.Name(), r.Slots(), r.Connections(), r.ColdLimit(), r.Owner())
					}
				}
			}
			if len(s.Shards()) != tt.shards || n != tt.searchers || s.NonIdempotent() != tt.nonIdempotent {
				t.Errorf("%d shards, %d searchers, non-idempotent %v, want %d, %d, %v", len(s.Shards()), n, s.NonIdempotent(), tt.shards, tt.searchers, tt.nonIdempotent)
			}
		})
	}
}
