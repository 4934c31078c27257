package load

import (
	"encoding/json"
	"testing"

	"medlaryard.example/medlaryard/standin/searchers"
)

// referenceAnswer returns the correct answer to r if only the given key ranges are
// covered.
func referenceAnswer(c *searchers.Corpus, r wireRequest, snapshot uint64, ranges ...searchers.Range) wireAnswer {
	a := wireAnswer{ID: r.ID, Snapshot: snapshot, Coverage: wireCoverage{Total: c.Total(snapshot)}}
	for _, r := range ranges {
		a.Coverage.Documents += c.Count(snapshot, r)
	}
	if a.Coverage.Documents < a.Coverage.Total {
		a.Missing = []wireMissing{{Shard: "s01"}}
	}
	for _, h := range c.Search(snapshot, ranges, r.Body, r.Limit) {
		a.Hits = append(a.Hits, wireHit{ID: h.ID, Score: h.Score, Data: h.Data})
	}
	return a
}

// Guards against a checker that accepts an answer with a wrong id, snapshot,
// coverage or hits.
func TestCheckerViolations(t *testing.T) {
	c := searchers.NewCorpus(3, 400)
	r := wireRequest{ID: "q", Limit: 5, Body: json.RawMessage(`"chorus 1"`)}
	whole, half := searchers.Range{High: searchers.KeySpace}, searchers.Range{High: searchers.KeySpace / 2}
	other := referenceAnswer(c, r, 2, whole)
	cases := []struct {
		name      string
		ranges    searchers.Range
		change    func(*wireAnswer)
		violation bool
	}{
		{"full", whole, func(*wireAnswer) {}, false},
		{"partial", half, func(*wireAnswer) {}, false},
		{"id of another request", whole, func(a *wireAnswer) { a.ID = "p" }, true},
		{"no snapshot", whole, func(a *wireAnswer) { a.Snapshot = 0 }, true},
		{"hit of another snapshot", whole, func(a *wireAnswer) { a.Hits[1] = other.Hits[1] }, true},
		{"labelled with another snapshot", whole, func(a *wireAnswer) { a.Snapshot = 2 }, true},
		{"hit twice", half, func(a *wireAnswer) { a.Hits[1] = a.Hits[0] }, true},
		{"hit missing", whole, func(a *wireAnswer) { a.Hits = a.Hits[1:] }, true},
		{"wrong data", whole, func(a *wireAnswer) { a.Hits[0].Data = json.RawMessage(`"x"`) }, true},
		{"overstated coverage", half, func(a *wireAnswer) { a.Coverage.Documents = a.Coverage.Total }, true},
		{"partial without missing shards", half, func(a *wireAnswer) { a.Missing = nil }, true},
		{"more hits than the limit", whole, func(a *wireAnswer) { a.Hits = append(a.Hits, a.Hits...) }, true},
	}
	for _, tc := range cases {
		a := referenceAnswer(c, r, 1, tc.ranges)
		tc.change(&a)
		if f := (checker{corpus: c}).violation(r, a); (f != "") != tc.violation {
			t.Errorf("%s: violation %q, want one: %v", tc.name, f, tc.violation)
		}
	}
}

// Guards against an answerLog that accepts a request that ran twice, or an answer
// that wrongly states whether the request ran.
func TestAnswerLogViolations(t *testing.T) {
	ok, no, unknown := wireAnswer{Outcome: "done"}, wireAnswer{Kind: "overloaded", Ran: "no"}, wireAnswer{Kind: "deadline", Ran: "unknown"}
	cases := []struct {
		name       string
		answers    []wireAnswer
		runs       int
		violations int
	}{
		{"ran once", []wireAnswer{ok, ok}, 1, 0},
		{"refused, then ran", []wireAnswer{no, ok}, 1, 0},
		{"refused, then unknown", []wireAnswer{no, unknown}, 1, 0},
		{"ran, then said not to have run", []wireAnswer{unknown, no}, 1, 1},
		{"not run", []wireAnswer{no, no}, 0, 0},
		{"ran twice", []wireAnswer{ok, unknown}, 2, 1},
		{"outcome without a run", []wireAnswer{ok}, 0, 1},
		{"ran after refusals", []wireAnswer{no, no}, 1, 1},
	}
	for _, tc := range cases {
		l := newAnswerLog()
		for _, a := range tc.answers {
			l.add("x", a)
		}
		if f := l.violations(map[string]int{"x": tc.runs}); len(f) != tc.violations {
			t.Errorf("%s: violations %q, want %d", tc.name, f, tc.violations)
		}
	}
}
