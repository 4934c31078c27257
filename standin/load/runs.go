package load

import (
	"fmt"
	"sync"
)

// ledger holds what the caller learnt about each non-idempotent request, for
// comparison with what the searchers ran.
type ledger struct {
	mu      sync.Mutex
	answers map[string][]wireAnswer
}

func newLedger() *ledger { return &ledger{answers: make(map[string][]wireAnswer)} }

func (l *ledger) add(id string, a wireAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[id] = append(l.answers[id], a)
}

// faults compares the answers with the number of runs of each identifier.
func (l *ledger) faults(runs map[string]int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var faults []string
	for id, answers := range l.answers {
		n := runs[id]
		if n > 1 {
			faults = append(faults, fmt.Sprintf("request %q ran %d times", id, n))
		}
		if f := falseAnswer(answers, n); f != "" {
			faults = append(faults, fmt.Sprintf("request %q: %s", id, f))
		}
	}
	return faults
}

// falseAnswer finds a statement about having run that the searchers refute. The
// answers are in the order of their arrival; the last request was sent after all
// others were answered or given up. A refusal before an outcome may have been
// true, but a caller whose last word is "not run" may send the request under a
// new identifier, so that word must be true.
func falseAnswer(answers []wireAnswer, runs int) string {
	outcome := false
	for _, a := range answers {
		outcome = outcome || a.Kind == ""
	}
	last := answers[len(answers)-1]
	switch {
	case outcome && runs == 0:
		return "has an outcome and did not run"
	case !outcome && runs > 0 && last.Kind != "" && last.Ran == "no":
		return fmt.Sprintf("ran although the last answer, kind %s, says that it did not", last.Kind)
	}
	return ""
}
