package load

import (
	"fmt"
	"sync"
)

// answerLog holds the answers to each non-idempotent request by request
// identifier, in the order of arrival, for comparison with the searchers' runs.
type answerLog struct {
	mu      sync.Mutex
	answers map[string][]wireAnswer
}

func newAnswerLog() *answerLog { return &answerLog{answers: make(map[string][]wireAnswer)} }

func (l *answerLog) add(id string, a wireAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[id] = append(l.answers[id], a)
}

// violations compares the answers with the number of runs of each request, and
// describes each difference.
func (l *answerLog) violations(runs map[string]int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var violations []string
	for id, answers := range l.answers {
		n := runs[id]
		if n > 1 {
			violations = append(violations, fmt.Sprintf("request %q ran %d times", id, n))
		}
		if c := contradiction(answers, n); c != "" {
			violations = append(violations, fmt.Sprintf("request %q: %s", id, c))
		}
	}
	return violations
}

// contradiction describes an answer that the number of runs disproves. It returns
// "" if there is none. The answers are in the order of arrival, and the last
// request was sent after all others were answered or timed out. A refusal that
// precedes an outcome may have been correct when it was sent. A last answer with
// ran "no" must be correct, because the caller may then send the request under a
// new identifier and it would run twice.
func contradiction(answers []wireAnswer, runs int) string {
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
