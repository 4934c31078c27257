package cell

import (
	"context"
	"crypto/rand"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/store"
)

// Option configures a Cell.
type Option func(*config)

type config struct {
	clk             clock.Clock
	store           store.Store
	cell            string
	calls           Calls
	parse           func(name, text string, generation uint64) (catalogue.Estate, error)
	seeds           []string
	lookupVM        func(name string) (listed, known bool)
	releaseGroups   func(ctx context.Context, groups []string) []*peerpb.ReleasedGroup
	importEstimates func([]*peerpb.ReleasedGroup)
	selectGroups    func(catalogue.Estate) []catalogue.Group
	spawn           func(func())
	newToken        func() string
}

func newConfig(opts []Option) config {
	c := config{
		clk:             clock.System{},
		cell:            "main",
		lookupVM:        func(string) (bool, bool) { return false, false },
		releaseGroups:   func(context.Context, []string) []*peerpb.ReleasedGroup { return nil },
		importEstimates: func([]*peerpb.ReleasedGroup) {},
		selectGroups:    allGroups,
		spawn:           func(f func()) { go f() },
		newToken:        rand.Text,
	}
	for _, o := range opts {
		o(&c)
	}
	return c
}

// withSpawn sets the function that starts tasks. Tests run tasks one at a time for
// repeatable runs.
func withSpawn(spawn func(func())) Option { return func(c *config) { c.spawn = spawn } }

// withToken sets the source of write tokens. Tests number the tokens for repeatable
// runs.
func withToken(token func() string) Option { return func(c *config) { c.newToken = token } }

func allGroups(e catalogue.Estate) []catalogue.Group {
	var groups []catalogue.Group
	for _, s := range e.Services() {
		groups = append(groups, s.Groups()...)
	}
	return groups
}

// WithClock sets the clock for timers and leases, the system clock by default.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clk = clk } }

// WithStore sets the platform's store.
func WithStore(st store.Store) Option { return func(c *config) { c.store = st } }

// WithName sets the name of the cell, "main" by default.
func WithName(name string) Option { return func(c *config) { c.cell = name } }

// WithCalls sets the peer calls.
func WithCalls(calls Calls) Option { return func(c *config) { c.calls = calls } }

// WithParse sets the function that parses catalogue text into an Estate, for example
// evaluate.Text.
func WithParse(parse func(name, text string, generation uint64) (catalogue.Estate, error)) Option {
	return func(c *config) { c.parse = parse }
}

// WithSeeds sets the peer addresses that a daemon asks for configuration and
// membership if it lacks one of them or has lost contact with all peers.
func WithSeeds(addresses []string) Option { return func(c *config) { c.seeds = addresses } }

// WithVMs sets the function that looks up a member name in the VM list. It returns
// known as false if no list has been read. It must not block or call the Cell.
func WithVMs(vms func(name string) (listed, known bool)) Option {
	return func(c *config) { c.lookupVM = vms }
}

// WithReleaseGroups sets the function that stops the homes of groups. It returns the
// estimates of these homes once none of their requests is in flight.
func WithReleaseGroups(releaseGroups func(ctx context.Context, groups []string) []*peerpb.ReleasedGroup) Option {
	return func(c *config) { c.releaseGroups = releaseGroups }
}

// WithImportEstimates sets the function that receives the estimates of previous homes.
func WithImportEstimates(importEstimates func([]*peerpb.ReleasedGroup)) Option {
	return func(c *config) { c.importEstimates = importEstimates }
}

// WithGroups sets the function that selects the replica groups for which the cell
// assigns homes, all groups by default.
func WithGroups(groups func(catalogue.Estate) []catalogue.Group) Option {
	return func(c *config) { c.selectGroups = groups }
}
