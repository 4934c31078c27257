// Command load sends requests to running daemons at a fixed rate, checks the
// answers and prints a Markdown table. It exits 1 if the check finds a violation
// or the run fails.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"medlaryard.example/medlaryard/standin/load"
	"medlaryard.example/medlaryard/standin/searchers"
)

type command struct {
	Daemon      []string      `required:"" help:"IP address and port of a callers' interface; repeatable."`
	Operator    []string      `help:"IP address and port of an operators' interface, to read extra sub-requests; one for each daemon."`
	Rate        float64       `default:"50" help:"Requests a second."`
	Count       int           `default:"500" help:"Number of requests."`
	MaxInFlight int           `default:"2000" help:"Requests in flight above which others are not sent."`
	Owner       string        `required:"" help:"Owner in the catalogue."`
	Class       string        `default:"interactive" help:"Service class."`
	Service     string        `required:"" help:"Service that receives the queries."`
	Route       string        `default:"match" help:"Route within the service."`
	Deadline    time.Duration `default:"2s" help:"Deadline of each request."`
	Limit       int           `default:"10" help:"Highest number of hits, at most 100."`
	Seed        uint64        `default:"1" help:"Determines bodies and resends."`
	Queries     int           `default:"100" help:"Number of different queries."`
	Documents   int           `help:"Documents of the searchers' corpus, to compare answers with the reference; 0 skips that."`
	CorpusSeed  uint64        `default:"1" help:"Seed of the searchers' corpus."`
	RunRatio    float64       `help:"Share of non-idempotent requests."`
	RunService  string        `help:"Service that receives them."`
	ResendRatio float64       `help:"Share of non-idempotent requests that are sent again."`
	Searchers   string        `help:"IP address and port of the searchers' admin endpoint, to count runs."`
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Name("load"), kong.Description("Open-loop load generator for the callers' interface."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := c.run(ctx)
	k.FatalIfErrorf(err)
	report.WriteMarkdown(os.Stdout)
	if n, _ := report.Violations(); n > 0 {
		k.Exit(1)
	}
}

func (c command) run(ctx context.Context) (*load.Report, error) {
	cfg := load.Config{
		Daemons: c.Daemon, Operators: c.Operator, Rate: c.Rate, Count: c.Count, MaxInFlight: c.MaxInFlight,
		Owner: c.Owner, Class: c.Class, Service: c.Service, Route: c.Route, Deadline: c.Deadline, Limit: c.Limit,
		Seed: c.Seed, Queries: c.Queries, RunRatio: c.RunRatio, RunService: c.RunService,
		ResendRatio: c.ResendRatio, Searchers: c.Searchers,
	}
	if c.Documents > 0 {
		cfg.Corpus = searchers.NewCorpus(c.CorpusSeed, c.Documents)
	}
	return load.Run(ctx, cfg)
}
