package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
)

// outcomeReply is the answer to a non-idempotent request.
type outcomeReply struct {
	ID      string          `json:"id"`
	Outcome string          `json:"outcome"`
	Body    json.RawMessage `json:"body"`
}

// runOnce sends a non-idempotent request with the ticket of the daemon at to,
// or with that of the command line to any daemon.
func (c *queryCommand) runOnce(env *Env, req queryRequest, to addressReply, answer addressesReply) error {
	t := ticket{Incarnation: to.Incarnation, IssuedMS: answer.IssuedMS}
	if c.Ticket != "" {
		var err error
		if t, err = parseTicket(c.Ticket); err != nil {
			return err
		}
		for _, a := range answer.Addresses {
			if a.Incarnation == t.Incarnation {
				to = a
			}
		}
	}
	req.Ticket = &t
	r, err := client{address: to.Address, timeout: c.Deadline + answerMargin}.post(env.ctx, "/v1/run", req)
	switch {
	case err != nil && notSent(err) && c.Ticket == "":
		return &fault{code: Refused, again: true, err: eris.Wrap(err, "not run: the request was not sent")}
	case err != nil:
		err = &fault{code: OutcomeUnknown, err: err}
	case r.status != http.StatusOK:
		err = refused(r)
	default:
		return c.printOutcome(env, r.body)
	}
	if codeOf(err) == OutcomeUnknown {
		return &fault{code: OutcomeUnknown, err: errors.Join(err,
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
		return &fault{code: OutcomeUnknown, err: eris.Wrap(err, "decode outcome")}
	}
	fmt.Fprintf(env.Stderr, "request %s: %s\n", o.ID, o.Outcome)
	_, err := fmt.Fprintf(env.Stdout, "%s\n", o.Body)
	return err
}
