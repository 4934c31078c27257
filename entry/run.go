package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/refusal"
)

// Outcome is the end of a non-idempotent request.
type Outcome struct {
	kind   refusal.Kind
	ran    refusal.Ran
	detail string
	body   []byte
}

// NewOutcome returns the Outcome of a request that a searcher answered with body.
func NewOutcome(body []byte) Outcome {
	return Outcome{kind: refusal.None, ran: refusal.DidRun, body: body}
}

// NewRefused returns the Outcome of a request that err ended.
func NewRefused(err error) Outcome {
	e := refusal.Of(err)
	return Outcome{kind: e.Kind(), ran: e.Ran(), detail: e.Detail()}
}

// Err returns the refusal, nil for an answer.
func (o Outcome) Err() error {
	if o.kind == refusal.None {
		return nil
	}
	return refusal.New(o.kind, "%s", o.detail).WithRan(o.ran)
}

// Body returns the answer of the searcher.
func (o Outcome) Body() []byte { return o.body }

type outcomeReply struct {
	ID      string          `json:"id"`
	Outcome string          `json:"outcome"`
	Body    json.RawMessage `json:"body,omitempty"`
}

func (s *Server) runOnce(c *fasthttp.RequestCtx, arrived time.Duration) {
	r, err := decodeRun(c.PostBody())
	if err != nil {
		refuse(c, r.id, err)
		return
	}
	r.body = append([]byte(nil), r.body...)
	o := s.e.Run(context.Background(), r, arrived)
	if err := o.Err(); err != nil {
		refuse(c, r.id, err)
		return
	}
	send(c, fasthttp.StatusOK, outcomeReply{ID: r.id, Outcome: "ok", Body: rawOf(o.body)})
}

// Run runs a non-idempotent request that arrived at the boot time.
func (e *Entry) Run(_ context.Context, _ Run, _ time.Duration) Outcome {
	return NewRefused(refusal.New(refusal.UnknownService, "not served"))
}
