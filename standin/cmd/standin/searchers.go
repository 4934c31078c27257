package main

import (
	"context"
	"fmt"

	"medlaryard.example/medlaryard/standin/searchers"
)

type searchersCommand struct {
	Admin  string `default:"127.0.0.1:0" help:"IP address and port of the admin endpoint; port 0 selects a free one."`
	Estate string `required:"" type:"existingfile" help:"YAML file that describes the searchers."`
}

// Run serves the searchers and prints one line for each:
// "searcher <name> <service> <shard> <version> <domain> <address>".
func (c searchersCommand) Run(ctx context.Context) error {
	estate, err := searchers.LoadEstate(c.Estate)
	if err != nil {
		return err
	}
	fleet, err := searchers.StartFleet(estate.Corpus(), estate.Configs())
	if err != nil {
		return err
	}
	defer fleet.Close()
	for _, s := range fleet.Searchers(searchers.Select{}) {
		i := s.Info()
		fmt.Println("searcher", i.Name, i.Service, i.Shard, i.Version, i.Domain, i.Address)
	}
	return serve(ctx, "admin", c.Admin, searchers.NewAdmin(fleet))
}
