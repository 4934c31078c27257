package command

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/catalogue/load"
	"medlaryard.example/medlaryard/clock"
)

// replyMargin is added to the request's deadline to give the client timeout. It
// allows for the transfer of the reply.
const replyMargin = 2 * time.Second

// retryInterval is the pause between two attempts.
const retryInterval = 200 * time.Millisecond

// maxBodyBytes is the maximum length of a request body.
const maxBodyBytes = 1 << 20

type queryCommand struct {
	Body     string        `arg:"" help:"Body of the request: JSON, or text that is sent as a JSON string; - reads standard input."`
	Caller   []string      `required:"" placeholder:"IP:PORT" env:"MEDLARYARD_CALLER" help:"Callers' addresses of some daemons, repeated or separated by commas. The request goes to an address that they name."`
	Service  string        `required:"" help:"Service to ask."`
	Owner    string        `required:"" env:"MEDLARYARD_OWNER" help:"Owner that the request is accounted to."`
	KeyFile  string        `type:"existingfile" env:"MEDLARYARD_OWNER_KEY_FILE" help:"File with the owner's API key, if the catalogue has keys."`
	Class    string        `enum:"interactive,batch" default:"interactive" help:"Service class: interactive or batch."`
	Route    string        `default:"search" help:"Route within the service."`
	Deadline time.Duration `default:"1s" help:"Time in which the answer is useful, from 1ms."`
	Limit    int           `default:"10" help:"Highest number of hits."`
	ID       string        `help:"Identifier of the request. The default is random."`
	Once     bool          `name:"run" help:"Send a non-idempotent request, which runs at most once."`
	RetryFor time.Duration `help:"Time for which a request is repeated while no daemon is reached or the refusal says that it did not run and may be repeated. Repetitions of --run append -2, -3 and so on to the identifier, since a refused one is spent."`
	Ticket   string        `placeholder:"INCARNATION/MS" help:"Ticket of an earlier --run with the same --id, to learn its outcome without a second run."`
	Partial  bool          `name:"allow-partial" help:"Exit with 0 when the answer is partial."`
	key      string
	Output   output `enum:"text,json" default:"text" help:"Form of the output: text with score, shard, identifier and data of a hit on each line, or json."`
}

// Help returns the detailed help text of query.
func (*queryCommand) Help() string {
	return "Hits or the outcome go to standard output; snapshot, coverage and what is missing go to standard error. A request whose outcome is not known is reported with the flags that ask again."
}

// Validate checks the values and combinations of the flags.
func (c *queryCommand) Validate() error {
	if c.Deadline < time.Millisecond {
		return errors.New("--deadline: at least 1ms")
	}
	if c.Ticket != "" && (!c.Once || c.ID == "") {
		return errors.New("--ticket: needs --run and the --id of the earlier request")
	}
	if c.Ticket != "" && c.RetryFor > 0 {
		return errors.New("--ticket: not together with --retry-for")
	}
	return nil
}

// Run sends the request and repeats it for up to --retry-for while it has not run
// and may be repeated.
func (c *queryCommand) Run(env *Env) error {
	body, err := c.encodeBody(env)
	if err != nil {
		return err
	}
	if c.key, err = readKey(c.KeyFile); err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	retryUntil := env.Clock.Boot() + c.RetryFor
	for id, n := c.ID, 2; ; n++ {
		err := c.attempt(env, id, body)
		var f *exitError
		if !errors.As(err, &f) || !f.retryable || env.Clock.Boot() >= retryUntil {
			return err
		}
		if clock.Sleep(env.ctx, env.Clock, retryInterval) != nil {
			return err
		}
		if c.Once {
			id = fmt.Sprintf("%s-%d", c.ID, n)
		}
	}
}

// attempt fetches the daemons' addresses and sends the request to one of them,
// chosen at random.
func (c *queryCommand) attempt(env *Env, id string, body json.RawMessage) error {
	answer, _, err := fetchAddresses(env.ctx, c.Caller)
	if err == nil && len(answer.Addresses) == 0 {
		err = eris.New("the daemon's address list is empty")
	}
	if err != nil {
		return &exitError{code: Failed, retryable: true, err: err}
	}
	req := queryRequest{
		ID: id, Owner: c.Owner, Class: c.Class, Service: c.Service, Route: c.Route,
		DeadlineMS: c.Deadline.Milliseconds(), Body: body,
	}
	daemon := answer.Addresses[mathrand.IntN(len(answer.Addresses))]
	if c.Once {
		return c.sendNonIdempotent(env, req, daemon, answer)
	}
	req.Limit = c.Limit
	r, err := client{address: daemon.Address, key: c.key, timeout: c.Deadline + replyMargin}.post(env.ctx, "/v1/query", req)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return refusalError(r)
	}
	return c.printAnswer(env, r.body)
}

// encodeBody returns the request body as JSON. A body that is not valid JSON is
// encoded as a JSON string.
func (c *queryCommand) encodeBody(env *Env) (json.RawMessage, error) {
	body := []byte(c.Body)
	if c.Body == load.Stdin {
		var err error
		if body, err = io.ReadAll(io.LimitReader(env.Stdin, maxBodyBytes+1)); err != nil {
			return nil, eris.Wrap(err, "read request body from standard input")
		}
	}
	if len(body) > maxBodyBytes {
		return nil, eris.Errorf("the request body is longer than %d bytes", maxBodyBytes)
	}
	if json.Valid(body) {
		return body, nil
	}
	text, err := json.Marshal(string(body))
	return text, eris.Wrap(err, "encode request body as a JSON string")
}

// printAnswer prints the answer. An answer that does not cover all documents gives
// an error with the code Partial unless --allow-partial is set.
func (c *queryCommand) printAnswer(env *Env, body []byte) error {
	var answer queryReply
	if err := json.Unmarshal(body, &answer); err != nil {
		return eris.Wrap(err, "decode answer")
	}
	if c.Output == outputJSON {
		if err := printJSON(env.Stdout, body); err != nil {
			return err
		}
	} else {
		for _, h := range answer.Hits {
			fmt.Fprintf(env.Stdout, "%g\t%s\t%s\t%s\n", h.Score, h.Shard, h.ID, h.Data)
		}
		fmt.Fprintf(env.Stderr, "snapshot %d, coverage %.2f%% (%d of %d documents)\n",
			answer.Snapshot, 100*answer.Coverage.Fraction, answer.Coverage.Documents, answer.Coverage.Total)
		for _, m := range answer.Missing {
			fmt.Fprintf(env.Stderr, "missing: shard %s: %s\n", m.Shard, m.Reason)
		}
	}
	complete := len(answer.Missing) == 0 && answer.Coverage.Documents == answer.Coverage.Total
	if complete || c.Partial {
		return nil
	}
	return &exitError{code: Partial, err: eris.Errorf("partial answer: %d of %d documents", answer.Coverage.Documents, answer.Coverage.Total)}
}
