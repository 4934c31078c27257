package once

import "medlaryard.example/medlaryard/refusal"

// Outcome is the final result of a non-idempotent request: an answer or a refusal.
type Outcome struct {
	kind   refusal.Kind
	ran    refusal.Ran
	detail string
	body   []byte
}

// Answered returns the Outcome of a request that a searcher answered with body.
func Answered(body []byte) Outcome {
	return Outcome{kind: refusal.None, ran: refusal.DidRun, body: body}
}

// Refused returns the Outcome of a request that failed with err.
func Refused(err error) Outcome {
	e := refusal.FromError(err)
	return Outcome{kind: e.Kind(), ran: e.Ran(), detail: e.Detail()}
}

// Err returns the refusal as a *refusal.Error, or nil for an answer.
func (o Outcome) Err() error {
	if o.kind == refusal.None {
		return nil
	}
	return refusal.New(o.kind, "%s", o.detail).WithRan(o.ran)
}

// Kind returns the kind of the refusal, or refusal.None for an answer.
func (o Outcome) Kind() refusal.Kind { return o.kind }

// Ran returns whether the request ran.
func (o Outcome) Ran() refusal.Ran { return o.ran }

// Detail returns the human-readable text of a refusal.
func (o Outcome) Detail() string { return o.detail }

// Body returns the searcher's answer.
func (o Outcome) Body() []byte { return o.body }
