package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/entry"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
)

const (
	// probeInterval is the time between probes, which go to the other daemons in
	// turn. In a cell of seven daemons, each of the six others is probed every 1.2 s.
	// The cost does not grow with the cell.
	probeInterval = 200 * time.Millisecond
	// probeTimeout is far above the response time of a loaded daemon.
	probeTimeout = 500 * time.Millisecond
	// maxUnansweredProbes is the number of consecutive unanswered probes after which a
	// daemon counts as unreachable. After a refused connection it counts as
	// unreachable at once.
	maxUnansweredProbes = 2
)

// prober detects daemons that do not respond, so that callers do not get their
// addresses while the membership still lists them.
type prober struct {
	client        *peer.Client
	others        func() []entry.Home
	recordContact func(h entry.Home, answered bool)
	unanswered    map[string]int // Consecutive unanswered probes by daemon name.
	next          int
}

func (p *prober) run(ctx context.Context, clk clock.Clock) {
	p.unanswered = make(map[string]int)
	for clock.Sleep(ctx, clk, probeInterval) == nil {
		list := p.others()
		if len(list) == 0 {
			continue
		}
		slices.SortFunc(list, func(a, b entry.Home) int { return strings.Compare(a.Name(), b.Name()) })
		p.next++
		p.probe(ctx, clk, list[p.next%len(list)])
		if len(p.unanswered) > len(list) {
			clear(p.unanswered) // The map has entries of daemons that left.
		}
	}
}

func (p *prober) probe(ctx context.Context, clk clock.Clock, h entry.Home) {
	ctx, cancel := clock.WithDeadline(ctx, clk, clk.Boot()+probeTimeout)
	defer cancel()
	// A Strike call without strikes has no effect on the other daemon.
	_, err := p.client.Strike(ctx, h.PeerAddress(), &peerpb.StrikeRequest{})
	if err == nil {
		p.unanswered[h.Name()] = 0
		p.recordContact(h, true)
		return
	}
	meter.Count("daemon.probe.failed", 1)
	p.unanswered[h.Name()]++
	if refusal.FromError(err).Ran() == refusal.NotRun || p.unanswered[h.Name()] >= maxUnansweredProbes {
		p.recordContact(h, false)
	}
}
