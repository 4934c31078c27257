package targets

import (
	"context"
	"net"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/clock"
)

// Option sets one property of a Group.
type Option func(*Group)

// Clock sets the source of time.
func Clock(c clock.Clock) Option { return func(g *Group) { g.clock = c } }

// Dial sets how connections are made.
func Dial(f func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(g *Group) { g.dial = f }
}

// PreferDomain names the failure domain of this daemon, whose targets are preferred.
func PreferDomain(domain string) Option { return func(g *Group) { g.domain = domain } }

// OnCrash sets what is called with the fingerprint of each request that was
// under way when a target crashed. It must not block.
func OnCrash(f func(fingerprint uint64)) Option { return func(g *Group) { g.onCrash = f } }

// ReportTo sets where failures are collected for other daemons.
func ReportTo(r *Reports) Option { return func(g *Group) { g.reports = r } }

// Log sets where state changes of targets are logged.
func Log(l zerolog.Logger) Option { return func(g *Group) { g.log = l } }
