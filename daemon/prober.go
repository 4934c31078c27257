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
	// turn. Today's six others are each probed every 1.2 s; the cost does not
	// grow with the cell.
	probeInterval = 200 * time.Millisecond
	// probeTimeout is far above the answer time of a loaded daemon.
	probeTimeout = 500 * time.Millisecond
	// silentProbes is the number of unanswered probes in a row after which a
	// daemon counts as unreachable. A refused connection counts at once.
	silentProbes = 2
)

// prober finds daemons that do not answer, so that callers are not sent to them
// while the membership still lists them.
type prober struct {
	client  *peer.Client
	others  func() []entry.Home
	outcome func(h entry.Home, answered bool)
	silent  map[string]int // Unanswered probes in a row by name.
	next    int
}

func (p *prober) run(ctx context.Context, clk clock.Clock) {
	p.silent = make(map[string]int)
	for clock.Sleep(ctx, clk, probeInterval) == nil {
		list := p.others()
		if len(list) == 0 {
			continue
		}
		slices.SortFunc(list, func(a, b entry.Home) int { return strings.Compare(a.Name(), b.Name()) })
		p.next++
		p.probe(ctx, clk, list[p.next%len(list)])
		if len(p.silent) > len(list) {
			clear(p.silent) // Daemons that left.
		}
	}
}

func (p *prober) probe(ctx context.Context, clk clock.Clock, h entry.Home) {
	ctx, cancel := clock.WithDeadline(ctx, clk, clk.Boot()+probeTimeout)
	defer cancel()
	// A call without strikes changes nothing at the other daemon.
	_, err := p.client.Strike(ctx, h.PeerAddress(), &peerpb.StrikeRequest{})
	if err == nil {
		p.silent[h.Name()] = 0
		p.outcome(h, true)
		return
	}
	meter.Count("daemon.probe.failed", 1)
	p.silent[h.Name()]++
	if refusal.Of(err).Ran() == refusal.NotRun || p.silent[h.Name()] >= silentProbes {
		p.outcome(h, false)
	}
}
