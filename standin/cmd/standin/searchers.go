package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"medlaryard.example/medlaryard/catalogue/evaluate"
	"medlaryard.example/medlaryard/catalogue/load"
	"medlaryard.example/medlaryard/standin/searchers"
)

type searchersCommand struct {
	Admin       string        `default:"127.0.0.1:0" help:"IP address and port of the admin endpoint; port 0 selects a free one."`
	Estate      string        `xor:"source" required:"" type:"existingfile" help:"YAML file that describes the searchers."`
	Catalogue   []string      `xor:"source" required:"" type:"existingfile" help:"Catalogue whose searchers are served at their addresses; repeatable."`
	Seed        uint64        `default:"1" help:"With --catalogue: determines the corpus and random choices."`
	Documents   int           `default:"2000" help:"With --catalogue: documents of the corpus."`
	ServiceTime time.Duration `default:"10ms" help:"With --catalogue: mean service time."`
}

// Run serves the searchers and their admin endpoint, and prints one line for each
// searcher:
// "searcher <name> <service> <shard> <version> <domain> <address>".
func (c searchersCommand) Run(ctx context.Context) error {
	corpus, configs, err := c.loadConfigs()
	if err != nil {
		return err
	}
	fleet, err := searchers.StartFleet(corpus, configs)
	if err != nil {
		return err
	}
	defer fleet.Close()
	for _, s := range fleet.Searchers(searchers.Filter{}) {
		i := s.Info()
		fmt.Println("searcher", i.Name, i.Service, i.Shard, i.Version, i.Domain, i.Address)
	}
	return serve(ctx, "admin", c.Admin, searchers.NewAdmin(fleet))
}

func (c searchersCommand) loadConfigs() (*searchers.Corpus, []searchers.Config, error) {
	if c.Estate != "" {
		estate, err := searchers.LoadEstate(c.Estate)
		return estate.Corpus(), estate.Configs(), err
	}
	sources, err := load.Files(c.Catalogue, os.Stdin)
	if err != nil {
		return nil, nil, err
	}
	estate, err := evaluate.Sources(sources, 1)
	if err != nil {
		return nil, nil, err
	}
	base := searchers.Config{Seed: c.Seed, ServiceTime: c.ServiceTime}
	return searchers.NewCorpus(c.Seed, c.Documents), searchers.FromCatalogue(estate, base), nil
}
