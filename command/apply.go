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

// applyTimeout bounds a whole apply with its retries.
const applyTimeout = 30 * time.Second

type applyCommand struct {
	Files  []string `arg:"" help:"Catalogue files; - is standard input. Several files together declare one catalogue."`
	Store  string   `required:"" placeholder:"IP:PORT" env:"MEDLARYARD_STORE" help:"Object store to write to."`
	Author string   `env:"MEDLARYARD_AUTHOR" help:"Name that stands with the change. The default is the user name and host name."`
	Based  *uint64  `placeholder:"GENERATION" help:"Generation that the change is based on, 0 for the first. If another one is in force, nothing is changed. The default is the one in force at the start of the command."`

	waitFlags `embed:""`
}

// Help adds to the help text.
func (*applyCommand) Help() string {
	return "Checks the files, shows the difference to what is in force, and replaces it by a conditional update. A lost reply of the store is resolved by reading back. Applying what is in force changes nothing and succeeds. The design has every daemon use the change within 4 s while the store is reachable; --wait makes sure."
}

// Run puts the files in force.
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
	now, err := p.Current(ctx)
	if err != nil {
		return eris.Wrap(err, "nothing was changed")
	}
	based := now.Generation()
	if c.Based != nil {
		based = *c.Based
	}
	if based == now.Generation() {
		if err := env.showDifference(now, estate); err != nil {
			fmt.Fprintf(env.Stderr, "medlaryard: no difference can be shown: %v\n", err)
		}
	}
	next, err := p.Apply(ctx, load.Join(sources), c.author(), based)
	if err != nil {
		return err
	}
	if next.Generation() == based {
		fmt.Fprintf(env.Stdout, "unchanged: generation %d\n", based)
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
