package command

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/clock"
)

type statusCommand struct {
	Operator []string      `required:"" placeholder:"IP:PORT" env:"MEDLARYARD_OPERATOR" help:"Operators' addresses of the daemons, repeated or separated by commas."`
	KeyFile  string        `type:"existingfile" help:"File with the operators' key, if the daemons require one."`
	Watch    bool          `help:"Show the status again after each interval, until interrupted."`
	Interval time.Duration `default:"2s" help:"Pause between two readings with --watch, from 100ms."`
	All      bool          `help:"Show everything instead of a summary and what needs attention."`
	Timeout  time.Duration `default:"5s" help:"Longest wait for one daemon."`
	Output   output        `enum:"text,json" default:"text" help:"Form of the output: text, or json with one line for each reading of a daemon."`
}

// Help returns the detailed help text of status.
func (*statusCommand) Help() string {
	return "The status is shown for each daemon in turn. The exit code is 1 if any daemon did not answer; with --watch such readings are reported on standard error and the next ones follow."
}

// Validate checks the bounds of the flags.
func (c *statusCommand) Validate() error {
	if c.Interval < 100*time.Millisecond {
		return errors.New("--interval: at least 100ms")
	}
	return nil
}

// Run prints the status of each daemon, once or repeatedly with --watch.
func (c *statusCommand) Run(env *Env) error {
	key, err := readKey(c.KeyFile)
	if err != nil {
		return err
	}
	for {
		err := c.readAll(env, key)
		if !c.Watch {
			return err
		}
		if err != nil {
			fmt.Fprintf(env.Stderr, "medlaryard: %v\n", err)
		}
		if clock.Sleep(env.ctx, env.Clock, c.Interval) != nil {
			return nil
		}
	}
}

// readAll fetches and prints the status of each daemon once. It continues after a
// failure and returns all errors joined.
func (c *statusCommand) readAll(env *Env, key string) error {
	var failed []error
	for _, address := range c.Operator {
		r, err := client{address: address, key: key, timeout: c.Timeout}.get(env.ctx, "/v1/status")
		if err == nil && r.status != http.StatusOK {
			err = eris.Errorf("daemon at %s answers %d: %.200s", address, r.status, r.body)
		}
		if err == nil {
			err = c.printReading(env, address, r.body)
		}
		if err != nil {
			failed = append(failed, err)
		}
	}
	return errors.Join(failed...)
}

func (c *statusCommand) printReading(env *Env, address string, body []byte) error {
	if c.Output == outputJSON {
		return printJSON(env.Stdout, body)
	}
	at := env.Clock.Now().UTC().Format(time.RFC3339)
	if _, err := fmt.Fprintf(env.Stdout, "--- %s at %s\n", address, at); err != nil {
		return err
	}
	if c.All {
		return printTree(env.Stdout, body)
	}
	return printStatus(env.Stdout, body)
}
