package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// addressesTimeout bounds the request to one daemon.
const addressesTimeout = 5 * time.Second

type addressesCommand struct {
	Caller []string `required:"" placeholder:"IP:PORT" env:"MEDLARYARD_CALLER" help:"Callers' addresses of some daemons, repeated or separated by commas. The first that answers is used."`
	Output output   `enum:"text,json" default:"text" help:"Form of the output: text with address, failure domain and incarnation on each line, or json."`
}

// addressesReply is the body of a reply to GET /v1/addresses.
type addressesReply struct {
	Addresses []addressReply `json:"addresses"`
	KeepMS    int64          `json:"keep_ms"`
	IssuedMS  int64          `json:"issued_ms"`
}

type addressReply struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
}

// Run prints the addresses that the daemon tells callers to use.
func (c *addressesCommand) Run(env *Env) error {
	answer, body, err := fetchAddresses(env.ctx, c.Caller)
	if err != nil {
		return err
	}
	if c.Output == outputJSON {
		return printJSON(env.Stdout, body)
	}
	for _, a := range answer.Addresses {
		fmt.Fprintf(env.Stdout, "%s %s %s\n", a.Address, a.Domain, a.Incarnation)
	}
	fmt.Fprintf(env.Stderr, "valid for %v\n", time.Duration(answer.KeepMS)*time.Millisecond)
	return nil
}

// fetchAddresses asks the daemons in order and returns the first valid reply,
// decoded and as received. If all fail, it returns their errors joined.
func fetchAddresses(ctx context.Context, callers []string) (addressesReply, []byte, error) {
	var failed []error
	for _, caller := range callers {
		r, err := client{address: caller, timeout: addressesTimeout}.get(ctx, "/v1/addresses")
		if err == nil && r.status != http.StatusOK {
			err = eris.Errorf("daemon at %s answers %d: %.200s", caller, r.status, r.body)
		}
		var answer addressesReply
		if err == nil {
			err = eris.Wrapf(json.Unmarshal(r.body, &answer), "decode addresses from the daemon at %s", caller)
		}
		if err == nil {
			return answer, r.body, nil
		}
		failed = append(failed, err)
	}
	return addressesReply{}, nil, errors.Join(failed...)
}
