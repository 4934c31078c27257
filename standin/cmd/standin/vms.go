package main

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/standin/vms"
)

type vmsCommand struct {
	Listen string        `default:"127.0.0.1:0" help:"IP address and port; port 0 selects a free one."`
	Lag    time.Duration `help:"Time after which changes become visible."`
}

// Run serves a VM list that is empty until POST /admin/vms adds VMs.
func (c vmsCommand) Run(ctx context.Context) error {
	s := vms.NewServer(clock.System{})
	s.SetLag(c.Lag)
	return serve(ctx, "vms", c.Listen, s)
}
