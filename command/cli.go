package command

import (
	"context"
	"fmt"

	"github.com/alecthomas/kong"
)

// cli declares the subcommands for kong.
type cli struct {
	Serve     serveCommand     `cmd:"" help:"Run the daemon until SIGTERM or SIGINT, then shut down gracefully. A second signal exits at once."`
	Node      nodeCommand      `cmd:"" help:"Run a daemon on the Tamasha Sauti platform until SIGTERM, then shut down gracefully."`
	Check     checkCommand     `cmd:"" help:"Check catalogue files, and show how they differ from what is in force."`
	Apply     applyCommand     `cmd:"" help:"Put a catalogue in force."`
	Status    statusCommand    `cmd:"" help:"Show the status of daemons."`
	Addresses addressesCommand `cmd:"" help:"Show the addresses that callers are told to use."`
	Query     queryCommand     `cmd:"" help:"Send one request as a caller."`
	Explain   explainCommand   `cmd:"" help:"Tell from logs what happened to a request."`
	Preview   previewCommand   `cmd:"" help:"Ask a running node where a request would go now, and why."`
	Version   versionCommand   `cmd:"" help:"Show the version of this binary."`
}

// Main runs the subcommand that args select and returns its exit code. args
// excludes the program name.
func Main(ctx context.Context, args []string, env *Env) Code {
	// After --help, Kong calls the exit function and expects it not to return.
	// The exit function therefore panics, and the deferred function recovers the code.
	type exited int
	code := OK
	func() {
		defer func() {
			if r := recover(); r != nil {
				e, ok := r.(exited)
				if !ok {
					panic(r)
				}
				code = Code(e)
			}
		}()
		code = run(ctx, args, env, func(c int) { panic(exited(c)) })
	}()
	return code
}

func run(ctx context.Context, args []string, env *Env, exit func(int)) Code {
	env.ctx = ctx
	parser, err := kong.New(
		&cli{},
		kong.Name("medlaryard"),
		kong.Description("Query tier between callers and sharded search back ends.\n\n"+exitCodesHelp),
		kong.Writers(env.Stdout, env.Stderr),
		kong.Exit(exit),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		return env.report(err)
	}
	k, err := parser.Parse(args)
	if err != nil {
		return env.report(&exitError{code: Usage, err: err})
	}
	return env.report(k.Run(env))
}

// report prints err and returns its exit code. Errors in input files are printed
// without a prefix, one per line, so that editors recognise the positions.
func (env *Env) report(err error) Code {
	code := exitCode(err)
	switch code {
	case OK:
	case InvalidInput:
		fmt.Fprintln(env.Stderr, err)
	default:
		fmt.Fprintf(env.Stderr, "medlaryard: %v\n", err)
	}
	return code
}
