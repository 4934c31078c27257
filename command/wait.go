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
	// waitPollInterval is the pause between two reads of a daemon's status.
	waitPollInterval = 200 * time.Millisecond
	// waitReadTimeout bounds one read of a daemon's status.
	waitReadTimeout = 2 * time.Second
)

// waitFlags are the flags of a command that can wait until a change is in force.
type waitFlags struct {
	Wait     time.Duration `help:"Time to wait until every daemon of --operator has the change in force. The default does not wait."`
	Operator []string      `placeholder:"IP:PORT" env:"MEDLARYARD_OPERATOR" help:"Operators' addresses of the daemons that --wait asks, repeated or separated by commas."`
	KeyFile  string        `type:"existingfile" help:"File with the operators' key, if the daemons require one."`
}

// Validate checks that --wait comes with the address of at least one daemon.
func (f *waitFlags) Validate() error {
	if f.Wait > 0 && len(f.Operator) == 0 {
		return errors.New("--wait: needs --operator")
	}
	return nil
}

// wait polls the daemons until each has the generation or a newer one in force. It
// fails at once if a daemon refuses the generation, and otherwise after f.Wait. If
// f.Wait is 0 it polls nothing.
func (f *waitFlags) wait(env *Env, generation uint64) error {
	if f.Wait == 0 {
		return nil
	}
	key, err := readKey(f.KeyFile)
	if err != nil {
		return err
	}
	deadline := env.Clock.Boot() + f.Wait
	for _, address := range f.Operator {
		daemon := client{address: address, key: key, timeout: waitReadTimeout}
		if err := waitForGeneration(env, daemon, generation, deadline); err != nil {
			return eris.Wrapf(err, "generation %d is stored, but not in force on every daemon", generation)
		}
	}
	_, err = fmt.Fprintf(env.Stdout, "in force: generation %d on %d daemons\n", generation, len(f.Operator))
	return err
}

// waitForGeneration polls one daemon until deadline, a reading of clock.Clock.Boot.
// It fails at once if the daemon refuses the generation.
func waitForGeneration(env *Env, daemon client, generation uint64, deadline time.Duration) error {
	for {
		c, err := fetchCellStatus(env, daemon)
		switch {
		case err == nil && c.InForceGeneration >= generation:
			return nil
		case err == nil && c.AskedGeneration >= generation && c.Refused != "":
			return eris.Errorf("daemon at %s refuses generation %d: %s", daemon.address, c.AskedGeneration, c.Refused)
		case err == nil:
			err = eris.Errorf("daemon at %s has generation %d in force", daemon.address, c.InForceGeneration)
		}
		if env.Clock.Boot() >= deadline || clock.Sleep(env.ctx, env.Clock, waitPollInterval) != nil {
			return err
		}
	}
}

// fetchCellStatus returns the cell section of a daemon's status.
func fetchCellStatus(env *Env, daemon client) (cellReply, error) {
	r, err := daemon.get(env.ctx, "/v1/status")
	if err != nil {
		return cellReply{}, err
	}
	if r.status != http.StatusOK {
		return cellReply{}, eris.Errorf("daemon at %s answers %d: %.200s", daemon.address, r.status, r.body)
	}
	s, _, err := decodeStatus(r.body)
	return s.Cell, eris.Wrapf(err, "decode status of the daemon at %s", daemon.address)
}
