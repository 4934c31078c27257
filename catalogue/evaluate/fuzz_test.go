package evaluate_test

import (
	"os"
	"testing"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/evaluate"
)

// Guards against a text that makes the check panic, which would end every daemon that
// reads it from the store, and against an accepted estate that violates an assumption
// of the daemons.
func FuzzText(f *testing.F) {
	for _, name := range []string{"small", "tamasha", "haneul"} {
		text, err := os.ReadFile("../../examples/" + name + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(validText))
	f.Add([]byte("services: [{name: s, shards: {count: 3, replicas: [5, {addresses: [[]]}]}, moves: [7]}]"))
	f.Add([]byte("services: [{name: s, shards: [{searchers: [{}]}, 4], moves: {}}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := evaluate.Text("f", text, 3)
		if err != nil {
			return
		}
		addresses := make(map[string]bool)
		for _, s := range e.Services() {
			checkEntry(t, e, s.Entry)
			versions := make(map[string]bool)
			for _, sh := range s.Shards() {
				checkEntry(t, e, sh.Entry)
				for _, r := range sh.Searchers() {
					checkEntry(t, e, r.Entry)
					_, known := e.Domain(r.Domain())
					if addresses[r.Address()] || !known || r.Slots() > r.Connections() || r.ColdLimit() < 1 || r.ColdLimit() > r.Slots() {
						t.Errorf("searcher %s was accepted with address %s, domain %s, %d slots, %d connections, cold limit %d", r.Name(), r.Address(), r.Domain(), r.Slots(), r.Connections(), r.ColdLimit())
					}
					addresses[r.Address()] = true
					versions[r.Version()] = true
				}
			}
			if len(s.Shards()) == 0 || (s.NonIdempotent() && len(s.Shards()) != 1) || (len(versions) > 1 && len(s.Moves()) == 0) {
				t.Errorf("service %s was accepted with %d shards, %d versions, %d moves", s.Name(), len(s.Shards()), len(versions), len(s.Moves()))
			}
		}
	})
}

// checkEntry reports an error for an entry without a name, a known owner, a valid class
// or positive limits.
func checkEntry(t *testing.T, e catalogue.Estate, entry catalogue.Entry) {
	t.Helper()
	_, known := e.Owner(entry.Owner())
	if entry.Name() == "" || !known || !entry.Class().Valid() || entry.Limits().Rate() <= 0 || entry.Limits().Concurrency() <= 0 {
		t.Errorf("entry %q was accepted with owner %q, class %q, limits %+v", entry.Name(), entry.Owner(), entry.Class(), entry.Limits())
	}
}
