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

// falseAnswer finds a statement about having run that the searchers refute.
// A request with several answers may have run after an earlier refusal, so a
// refusal counts only if no answer leaves that open.
func falseAnswer(answers []wireAnswer, runs int) string {
	refused := 0
	for _, a := range answers {
		if a.Kind == "" && runs == 0 {
			return "has an outcome and did not run"
		}
		if a.Kind != "" && a.Ran == "no" {
			refused++
		}
	}
	if refused == len(answers) && runs > 0 {
		return "ran although every answer says that it did not"
	}
	return ""
}
