package main

import (
	"context"

	"medlaryard.example/medlaryard/standin/objects"
)

type objectsCommand struct {
	Listen string `default:"127.0.0.1:0" help:"IP address and port; port 0 selects a free one."`
}

// Run serves an object store that is empty at first.
func (c objectsCommand) Run(ctx context.Context) error {
	return serve(ctx, "objects", c.Listen, objects.NewHandler(objects.New()))
}
