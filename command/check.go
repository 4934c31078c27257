package command

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/evaluate"
	"medlaryard.example/medlaryard/catalogue/load"
	"medlaryard.example/medlaryard/catalogue/publish"
)

type checkCommand struct {
	Files []string `arg:"" help:"Catalogue files; - is standard input. Several files together declare one catalogue."`
	Store string   `placeholder:"IP:PORT" env:"MEDLARYARD_STORE" help:"Object store to compare with. Without it the files are only checked."`
}

// Help returns the detailed help text of check.
func (*checkCommand) Help() string {
	return "Faults go to standard error, one to a line: file:line:column: path: what was expected and found. A summary and the difference go to standard output."
}

// Run checks the files and, if a store is given, prints the difference to the
// catalogue in force.
func (c *checkCommand) Run(env *Env) error {
	sources, err := load.Files(c.Files, env.Stdin)
	if err != nil {
		return err
	}
	estate, err := evaluate.Sources(sources, 0)
	if err != nil {
		return err
	}
	fmt.Fprintln(env.Stdout, summary(estate))
	if c.Store == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(env.ctx, storeReadTimeout)
	defer cancel()
	current, err := publish.New(env.OpenStore(c.Store), publish.WithClock(env.Clock)).Current(ctx)
	if err != nil {
		return eris.Wrap(err, "the files are valid, but the catalogue in force cannot be read")
	}
	return env.showDifference(current, estate)
}

// showDifference prints generation, author and time of the catalogue in force,
// and the changes that estate would make to it.
func (env *Env) showDifference(current publish.Current, estate catalogue.Estate) error {
	text, err := difference(current, estate)
	if err != nil {
		return eris.Wrapf(err, "catalogue generation %d in the store is invalid", current.Generation())
	}
	if current.Generation() == 0 {
		fmt.Fprintln(env.Stdout, "in force: nothing")
	} else {
		fmt.Fprintf(env.Stdout, "in force: generation %d by %s, applied %s\n", current.Generation(), current.Author(), current.Applied().Format("2006-01-02T15:04:05Z07:00"))
	}
	fmt.Fprint(env.Stdout, text)
	return nil
}

func summary(e catalogue.Estate) string {
	shards, searchers, moves := 0, 0, 0
	for _, s := range e.Services() {
		shards += len(s.Shards())
		moves += len(s.Moves())
		for _, sh := range s.Shards() {
			searchers += len(sh.Searchers())
		}
	}
	return fmt.Sprintf("valid: %d failure domains, %d owners, %d services, %d shards, %d searchers, %d moves",
		len(e.Domains()), len(e.Owners()), len(e.Services()), shards, searchers, moves)
}
