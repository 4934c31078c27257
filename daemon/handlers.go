package daemon

import (
	"context"

	"medlaryard.example/medlaryard/home"
	"medlaryard.example/medlaryard/peer"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// handlers returns the handlers of the peer calls that this daemon serves.
func (d *daemon) handlers() peer.Handlers {
	return peer.Handlers{
		Relay:     d.serveRelay,
		Heartbeat: d.cell.HandleHeartbeat,
		Sync:      d.cell.HandleSync,
		Release:   d.cell.HandleRelease,
		Report:    d.moves.serveReport,
		Outcome: func(_ context.Context, in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
			return d.responder.Outcome(in)
		},
		Strike: func(_ context.Context, in *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
			d.suspects.Merge(in.Strikes)
			return &peerpb.StrikeReply{}, nil
		},
	}
}

// release stops the homes of groups and returns their estimates of searchers.
func (d *daemon) release(ctx context.Context, groups []string) []*peerpb.ReleasedGroup {
	var out []*peerpb.ReleasedGroup
	for _, h := range d.homes.Release(ctx, groups) {
		out = append(out, encodeHandoff(h))
	}
	return out
}

// importEstimates passes the estimates of the previous homes to this daemon's homes.
func (d *daemon) importEstimates(groups []*peerpb.ReleasedGroup) {
	for _, g := range groups {
		if g != nil {
			d.homes.ImportEstimates(g.Group, decodeHandoff(g))
		}
	}
}

func encodeHandoff(h home.Handoff) *peerpb.ReleasedGroup {
	out := &peerpb.ReleasedGroup{Group: h.Group()}
	for _, e := range h.Searchers() {
		out.Searchers = append(out.Searchers, &peerpb.SearcherEstimate{
			Name: e.Name(), Address: e.Address(), Warm: e.Warm(),
			LatencyUs: e.Latency().Microseconds(), ColdLimit: uint32(max(0, e.ColdLimit())),
		})
	}
	return out
}

func decodeHandoff(g *peerpb.ReleasedGroup) home.Handoff {
	var list []home.Estimate
	for _, s := range g.Searchers {
		if s != nil {
			list = append(list, home.NewEstimate(home.EstimateSpec{
				Name: s.Name, Address: s.Address, Warm: s.Warm,
				Latency: microseconds(s.LatencyUs), ColdLimit: int(s.ColdLimit),
			}))
		}
	}
	return home.NewHandoff(g.Group, list)
}
