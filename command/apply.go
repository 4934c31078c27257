package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/catalogue/evaluate"
	"medlaryard.example/medlaryard/catalogue/load"
	"medlaryard.example/medlaryard/catalogue/publish"
)

// applyTimeout bounds the store calls of one apply, including retries.
const applyTimeout = 30 * time.Second

type applyCommand struct {
	Files  []string `arg:"" help:"Catalogue files; - is standard input. Several files together declare one catalogue."`
	Store  string   `required:"" placeholder:"IP:PORT" env:"MEDLARYARD_STORE" help:"Object store to write to."`
	Author string   `env:"MEDLARYARD_AUTHOR" help:"Name that stands with the change. The default is the user name and host name."`
	Based  *uint64  `placeholder:"GENERATION" help:"Generation that the change is based on, 0 for the first. If another one is in force, nothing is changed. The default is the one in force at the start of the command."`

	waitFlags `embed:""`
}

// Help returns the detailed help text of apply.
func (*applyCommand) Help() string {
	return "Checks the files, shows the difference to what is in force, and replaces it by a conditional update. A lost reply of the store is resolved by reading back. Applying what is in force changes nothing and succeeds. The design has every daemon use the change within 4 s while the store is reachable; --wait makes sure."
}

// Run checks the files, prints the difference, and publishes the catalogue if
// the generation that it is based on is still current.
func (c *applyCommand) Run(env *Env) error {
	sources, err := load.Files(c.Files, env.Stdin)
	if err != nil {
		return err
	}
	estate, err := evaluate.Sources(sources, 0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(env.ctx, applyTimeout)
	defer cancel()
	p := publish.New(env.OpenStore(c.Store), publish.WithClock(env.Clock))
	current, err := p.Current(ctx)
	if err != nil {
		return eris.Wrap(err, "nothing was changed")
	}
	base := current.Generation()
	if c.Based != nil {
		base = *c.Based
	}
	if base == current.Generation() {
		if err := env.showDifference(current, estate); err != nil {
			fmt.Fprintf(env.Stderr, "medlaryard: cannot show the difference to the catalogue in force: %v\n", err)
		}
	}
	next, err := p.Apply(ctx, load.Join(sources), c.author(), base)
	if err != nil {
		return err
	}
	if next.Generation() == base {
		fmt.Fprintf(env.Stdout, "unchanged: generation %d\n", base)
	} else {
		fmt.Fprintf(env.Stdout, "applied: generation %d\n", next.Generation())
	}
	return c.wait(env, next.Generation())
}

func (c *applyCommand) author() string {
	if c.Author != "" {
		return c.Author
	}
	user, host := os.Getenv("USER"), "unknown host"
	if user == "" {
		user = "unknown user"
	}
	if h, err := os.Hostname(); err == nil {
		host = h
	}
	return user + "@" + host
}
