package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
)

// outcomeReply is the body of a reply to POST /v1/run.
type outcomeReply struct {
	ID      string          `json:"id"`
	Outcome string          `json:"outcome"`
	Body    json.RawMessage `json:"body"`
}

// sendNonIdempotent sends a request that runs at most once. It sends the request to
// daemon with a ticket of that daemon's incarnation. With --ticket it sends that
// ticket instead, to the incarnation that the ticket names if answer lists it, and
// otherwise to daemon. If the outcome is unknown, the error states the flags that
// ask for it again.
func (c *queryCommand) sendNonIdempotent(env *Env, req queryRequest, daemon addressReply, answer addressesReply) error {
	t := ticket{Incarnation: daemon.Incarnation, IssuedMS: answer.IssuedMS}
	if c.Ticket != "" {
		var err error
		if t, err = parseTicket(c.Ticket); err != nil {
			return err
		}
		for _, a := range answer.Addresses {
			if a.Incarnation == t.Incarnation {
				daemon = a
			}
		}
	}
	req.Ticket = &t
	r, err := client{address: daemon.Address, key: c.key, timeout: c.Deadline + replyMargin}.post(env.ctx, "/v1/run", req)
	switch {
	case err != nil && notSent(err) && c.Ticket == "":
		return &exitError{code: Refused, retryable: true, err: eris.Wrap(err, "not run: the request was not sent")}
	case err != nil:
		err = &exitError{code: OutcomeUnknown, err: err}
	case r.status != http.StatusOK:
		err = refusalError(r)
	default:
		return c.printOutcome(env, r.body)
	}
	if exitCode(err) == OutcomeUnknown {
		return &exitError{code: OutcomeUnknown, err: errors.Join(err,
			fmt.Errorf("to learn the outcome, repeat the command with --id %s --ticket %s", req.ID, t))}
	}
	return err
}

func (c *queryCommand) printOutcome(env *Env, body []byte) error {
	if c.Output == outputJSON {
		return printJSON(env.Stdout, body)
	}
	var o outcomeReply
	if err := json.Unmarshal(body, &o); err != nil {
		return &exitError{code: OutcomeUnknown, err: eris.Wrap(err, "decode outcome")}
	}
	fmt.Fprintf(env.Stderr, "request %s: %s\n", o.ID, o.Outcome)
	_, err := fmt.Fprintf(env.Stdout, "%s\n", o.Body)
	return err
}
