package command

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/refusal"
)

// refusalReply is the body of a reply that refuses a request.
type refusalReply struct {
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Ran    string `json:"ran"`
	Retry  string `json:"retry"`
	Detail string `json:"detail"`
}

// refusalError returns the error for a reply with a status other than 200. Its
// code is OutcomeUnknown if the reply does not say whether the request ran.
func refusalError(r reply) error {
	var body refusalReply
	if err := json.Unmarshal(r.body, &body); err != nil || body.Kind == "" {
		return &exitError{code: OutcomeUnknown, err: eris.Errorf("the daemon answers %d: %.200s", r.status, r.body)}
	}
	code := Refused
	if body.Ran == string(refusal.Unknown) {
		code = OutcomeUnknown
	}
	retryable := body.Ran == string(refusal.NotRun) && body.Retry != string(refusal.RetryNever)
	return &exitError{code: code, retryable: retryable, err: eris.Errorf("refused: %s (ran: %s, retry: %s): %s", body.Kind, body.Ran, body.Retry, body.Detail)}
}
