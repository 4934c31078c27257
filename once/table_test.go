package once

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/refusal"
)

func init() { invariant.FatalInTests() }

// Guards against an identifier that is given out twice within its window, an
// outcome that changes, a barred identifier that runs, and a table that grows
// beyond its bound.
func TestTableGivesOutEachIdentifierOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clocktest.New()
		table := NewTable(WithClock(clk), WithWindow(10*time.Second), WithRecords(6))
		given := make(map[string]*Record) // Running.
		ended := make(map[string]time.Duration)
		barred := make(map[string]bool)
		name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")) })
		forget := func() {
			for id, at := range ended {
				if clk.Boot() >= at+table.Window() {
					delete(ended, id)
					delete(barred, id)
				}
			}
		}
		known := func(id string) bool {
			_, e := ended[id]
			return e || given[id] != nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := name.Draw(t, "name")
				r, state := table.Begin(rapid.SampledFrom([]string{"o", "p"}).Draw(t, "owner"), id, 7)
				if r != nil && r.owner == "p" {
					// Identifiers of another owner are other requests.
					if state == Fresh {
						r.Finish(Answered(nil))
					}
					return
				}
				if r != nil && (state == Seen) != known(id) {
					t.Fatalf("identifier %s: state %d, known %v", id, state, known(id))
				}
				if state == Fresh {
					given[id] = r
				}
			},
			"finish": func(t *rapid.T) {
				id := name.Draw(t, "name")
				if given[id] != nil {
					given[id].Finish(Answered([]byte(id)))
					delete(given, id)
					ended[id] = clk.Boot()
				}
			},
			"bar": func(t *rapid.T) {
				id := name.Draw(t, "name")
				r, was := table.Bar("o", id)
				if r != nil && was != known(id) {
					t.Fatalf("identifier %s: bar says known %v, is %v", id, was, known(id))
				}
				if r != nil && !was {
					ended[id], barred[id] = clk.Boot(), true
				}
			},
			"advance": func(t *rapid.T) {
				clk.Advance(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
				forget()
			},
			"": func(t *rapid.T) {
				if table.Len() > 6 {
					t.Fatalf("table has %d records", table.Len())
				}
				for id := range ended {
					o, ok := table.Find("o", id).Outcome()
					if want := barred[id]; !ok || (o.Ran() == refusal.NotRun) != want {
						t.Fatalf("identifier %s: outcome %v, barred %v", id, o, want)
					}
				}
			},
		})
	})
}
