package targets

import (
	"context"
	"net"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/readbudget"
)

// Option sets one property of a Group.
type Option func(*Group)

// Clock sets the source of time.
func Clock(c clock.Clock) Option { return func(g *Group) { g.clock = c } }

// Dial sets the function that opens connections.
func Dial(f func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(g *Group) { g.dial = f }
}

// PreferDomain sets the failure domain whose targets are preferred, usually
// that of this daemon.
func PreferDomain(domain string) Option { return func(g *Group) { g.domain = domain } }

// OnCrash sets a function that is called for each request that was in flight when a
// target crashed. It must not block, nor use the group.
func OnCrash(f func(Crash)) Option { return func(g *Group) { g.onCrash = f } }

// ReportTo sets the collection of failure reports for other daemons.
func ReportTo(r *Reports) Option { return func(g *Group) { g.reports = r } }

// NoticesIn sets the collection of what targets state about themselves.
func NoticesIn(n *Notices) Option { return func(g *Group) { g.notices = n } }

// ReadWithin sets the budget for reading answers, which the groups of a daemon
// share.
func ReadWithin(b *readbudget.Budget) Option { return func(g *Group) { g.readBudget = b } }

// ConnectWithin sets the limit of connections, which the groups of a daemon share. By
// default there is none.
func ConnectWithin(l *ConnLimit) Option { return func(g *Group) { g.connLimit = l } }

// Log sets the logger for state changes of targets.
func Log(l zerolog.Logger) Option { return func(g *Group) { g.log = l } }

// PlaceBy sets the rule that selects the target of a request; the default is
// ByLatency.
func PlaceBy(p Placement) Option { return func(g *Group) { g.placement = p } }
