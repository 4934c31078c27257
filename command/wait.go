package command

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/clock"
)

const (
	// waitPause is the time between two readings of a daemon's status.
	waitPause = 200 * time.Millisecond
	// waitTimeout bounds one reading.
	waitTimeout = 2 * time.Second
)

// waitFlags are the flags of a command that waits until a change is in force.
type waitFlags struct {
	Wait     time.Duration `help:"Time to wait until every daemon of --operator has the change in force. The default does not wait."`
	Operator []string      `placeholder:"IP:PORT" env:"MEDLARYARD_OPERATOR" help:"Operators' addresses of the daemons that --wait asks, repeated or separated by commas."`
	KeyFile  string        `type:"existingfile" help:"File with the operators' key, if the daemons require one."`
}

// Validate checks that there is a daemon to wait for.
func (f *waitFlags) Validate() error {
	if f.Wait > 0 && len(f.Operator) == 0 {
		return errors.New("--wait: needs --operator")
	}
	return nil
}

// wait returns when every daemon has at least the generation in force. It gives
// up at once when a daemon refuses the generation, and otherwise after f.Wait.
func (f *waitFlags) wait(env *Env, generation uint64) error {
	if f.Wait == 0 {
		return nil
	}
	key, err := readKey(f.KeyFile)
	if err != nil {
		return err
	}
	end := env.Clock.Boot() + f.Wait
	for _, address := range f.Operator {
		daemon := client{address: address, key: key, timeout: waitTimeout}
		if err := waitFor(env, daemon, generation, end); err != nil {
			return eris.Wrapf(err, "generation %d is stored, but not in force on every daemon", generation)
		}
	}
	_, err = fmt.Fprintf(env.Stdout, "in force: generation %d on %d daemons\n", generation, len(f.Operator))
	return err
}

func waitFor(env *Env, daemon client, generation uint64, end time.Duration) error {
	for {
		c, err := inForce(env, daemon)
		switch {
		case err == nil && c.InForce >= generation:
			return nil
		case err == nil && c.Asked >= generation && c.Refused != "":
			return eris.Errorf("daemon at %s refuses generation %d: %s", daemon.address, c.Asked, c.Refused)
		case err == nil:
			err = eris.Errorf("daemon at %s has generation %d in force", daemon.address, c.InForce)
		}
		if env.Clock.Boot() >= end || clock.Sleep(env.ctx, env.Clock, waitPause) != nil {
			return err
		}
	}
}

// inForce returns what a daemon has in force.
func inForce(env *Env, daemon client) (cellReply, error) {
	r, err := daemon.get(env.ctx, "/v1/status")
	if err != nil {
		return cellReply{}, err
	}
	if r.status != http.StatusOK {
		return cellReply{}, eris.Errorf("daemon at %s answers %d: %.200s", daemon.address, r.status, r.body)
	}
	s, _, err := decodeStatus(r.body)
	return s.Cell, eris.Wrapf(err, "status of the daemon at %s", daemon.address)
}
