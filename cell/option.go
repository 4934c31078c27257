package cell

import (
	"context"
	"crypto/rand"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/store"
)

// Option changes a Cell.
type Option func(*config)

type config struct {
	clk     clock.Clock
	st      store.Store
	cell    string
	calls   Calls
	parse   func(name, text string, generation uint64) (catalogue.Estate, error)
	seeds   []string
	vms     func(name string) (listed, known bool)
	release func(ctx context.Context, groups []string) []*peerpb.ReleasedGroup
	adopt   func([]*peerpb.ReleasedGroup)
	groups  func(catalogue.Estate) []catalogue.Group
	spawn   func(func())
	token   func() string
}

func newConfig(opts []Option) config {
	c := config{
		clk:     clock.System{},
		cell:    "main",
		vms:     func(string) (bool, bool) { return false, false },
		release: func(context.Context, []string) []*peerpb.ReleasedGroup { return nil },
		adopt:   func([]*peerpb.ReleasedGroup) {},
		groups:  allGroups,
		spawn:   func(f func()) { go f() },
		token:   rand.Text,
	}
	for _, o := range opts {
		o(&c)
	}
	return c
}

// withSpawn and withToken make a run repeatable: tests start tasks one at a time
// and number the tokens.
func withSpawn(spawn func(func())) Option { return func(c *config) { c.spawn = spawn } }

func withToken(token func() string) Option { return func(c *config) { c.token = token } }

func allGroups(e catalogue.Estate) []catalogue.Group {
	var groups []catalogue.Group
	for _, s := range e.Services() {
		groups = append(groups, s.Groups()...)
	}
	return groups
}

// WithClock sets the clock of timers and leases.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clk = clk } }

// WithStore sets the platform's store.
func WithStore(st store.Store) Option { return func(c *config) { c.st = st } }

// WithName sets the name of the cell, "main" by default.
func WithName(name string) Option { return func(c *config) { c.cell = name } }

// WithCalls sets the peer calls.
func WithCalls(calls Calls) Option { return func(c *config) { c.calls = calls } }

// WithParse sets the function that turns catalogue text into an Estate;
// evaluate.Text fits.
func WithParse(parse func(name, text string, generation uint64) (catalogue.Estate, error)) Option {
	return func(c *config) { c.parse = parse }
}

// WithSeeds sets the peer addresses that a daemon asks for configuration and
// membership when the store does not answer.
func WithSeeds(addresses []string) Option { return func(c *config) { c.seeds = addresses } }

// WithVMs sets the lookup in the VM list by member name. known is false when no
// list has been read. It must not block or call the Cell.
func WithVMs(vms func(name string) (listed, known bool)) Option {
	return func(c *config) { c.vms = vms }
}

// WithRelease sets the function that stops the homes of groups. It returns when
// none of their requests is in flight, with what the homes learned.
func WithRelease(release func(ctx context.Context, groups []string) []*peerpb.ReleasedGroup) Option {
	return func(c *config) { c.release = release }
}

// WithImport sets the function that receives what the previous homes learned.
func WithImport(adopt func([]*peerpb.ReleasedGroup)) Option {
	return func(c *config) { c.adopt = adopt }
}

// WithGroups selects the replica groups that the cell is home of, all by default.
func WithGroups(groups func(catalogue.Estate) []catalogue.Group) Option {
	return func(c *config) { c.groups = groups }
}
