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

func init() { invariant.PanicOnViolation() }

// Guards against an identifier that is Fresh twice within the window, an outcome that
// changes, a barred identifier that runs, and a table with more records than its
// limit. Random calls and clock steps are compared with a simple model.
func TestTableIdentifierOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clocktest.New()
		table := NewTable(WithClock(clk), WithWindow(10*time.Second), WithRecords(6))
		running := make(map[string]*Record)
		ended := make(map[string]time.Duration)
		barred := make(map[string]bool)
		name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")) })
		expire := func() {
			for id, at := range ended {
				if clk.Boot() >= at+table.Window() {
					delete(ended, id)
					delete(barred, id)
				}
			}
		}
		known := func(id string) bool {
			_, e := ended[id]
			return e || running[id] != nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := name.Draw(t, "name")
				r, state := table.Begin(rapid.SampledFrom([]string{"o", "p"}).Draw(t, "owner"), id, 7)
				if r != nil && r.owner == "p" {
					// An equal identifier of another owner is another request.
					if state == Fresh {
						r.Finish(Answered(nil))
					}
					return
				}
				if r != nil && (state == Seen) != known(id) {
					t.Fatalf("identifier %s: state %d, want known %v", id, state, known(id))
				}
				if state == Fresh {
					running[id] = r
				}
			},
			"finish": func(t *rapid.T) {
				id := name.Draw(t, "name")
				if running[id] != nil {
					running[id].Finish(Answered([]byte(id)))
					delete(running, id)
					ended[id] = clk.Boot()
				}
			},
			"bar": func(t *rapid.T) {
				id := name.Draw(t, "name")
				r, wasKnown := table.FindOrBar("o", id)
				if r != nil && wasKnown != known(id) {
					t.Fatalf("identifier %s: FindOrBar returned known %v, want %v", id, wasKnown, known(id))
				}
				if r != nil && !wasKnown {
					ended[id], barred[id] = clk.Boot(), true
				}
			},
			"advance": func(t *rapid.T) {
				clk.Advance(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
				expire()
			},
			"": func(t *rapid.T) {
				if table.Len() > 6 {
					t.Fatalf("table has %d records, the limit is 6", table.Len())
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
