package command

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/refusal"
)

// refusalReply is the body of a refusal.
type refusalReply struct {
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Ran    string `json:"ran"`
	Retry  string `json:"retry"`
	Detail string `json:"detail"`
}

// refused returns the error for a reply with a status other than 200. A
// refusal that does not prove whether the request ran has the code OutcomeUnknown.
func refused(r reply) error {
	var body refusalReply
	if err := json.Unmarshal(r.body, &body); err != nil || body.Kind == "" {
		return &fault{code: OutcomeUnknown, err: eris.Errorf("the daemon answers %d: %.200s", r.status, r.body)}
	}
	code := Refused
	if body.Ran == string(refusal.Unknown) {
		code = OutcomeUnknown
	}
	again := body.Ran == string(refusal.NotRun) && body.Retry != string(refusal.RetryNever)
	return &fault{code: code, again: again, err: eris.Errorf("refused: %s (ran: %s, retry: %s): %s", body.Kind, body.Ran, body.Retry, body.Detail)}
}
