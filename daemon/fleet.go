package daemon

import (
	"context"
	"math/rand/v2"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/entry"
	"medlaryard.example/medlaryard/peer"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// fleet returns the functions by which the entry uses this daemon and the others.
func (d *daemon) fleet() entry.Fleet {
	return entry.Fleet{
		Estate: func() (catalogue.Estate, bool) {
			v := d.view.Load()
			return v.estate, v.hasCatalogue
		},
		PreferenceList: func(group string) []entry.Home { return d.view.Load().preferenceLists[group] },
		Local: func(ctx context.Context, r shard.Request) shard.Result {
			return d.withAvailableSnapshots(d.suspectGate.Do(ctx, r))
		},
		AvailableSnapshots: func(group string) []shard.Label { return d.homes.AvailableSnapshots(group) },
		Relay:              d.relay,
		Outcome: func(ctx context.Context, to entry.Home, in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
			return d.client.Outcome(ctx, to.PeerAddress(), in)
		},
		Member: func(incarnation string) (entry.Home, bool) {
			h, ok := d.view.Load().members[incarnation]
			return h, ok
		},
		Addresses: d.addresses,
	}
}

func (d *daemon) relay(ctx context.Context, to entry.Home, batch []shard.Request) ([]shard.Result, error) {
	estate := d.view.Load().estate
	reply, err := d.client.Relay(ctx, to.PeerAddress(), peer.RelayRequest(batch, d.clk.Boot(), estate.Generation(), 0))
	if err != nil {
		return nil, err
	}
	return peer.Results(reply)
}

// addresses returns the addresses for callers. They are in random order because
// callers try them in the order of the response. It leaves out daemons that do not
// respond to this one and daemons in a failure domain that is out of service. If no
// address is left, it returns that of this daemon, unless the daemon is leaving.
func (d *daemon) addresses() []entry.Address {
	list := d.view.Load().addresses.reachable(func(member string) bool {
		return member == d.cfg.Name() || d.entry.Reachable(member)
	})
	if len(list) == 0 && !d.leaving.Load() {
		return []entry.Address{entry.NewAddress(d.cfg.CallerAdvertise(), d.incarnation, d.cfg.Domain())}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// suspectState returns Suspect if requests with fingerprint crashed searchers once, and
// Refused if they did so again.
func (d *daemon) suspectState(fingerprint uint64) entry.SuspectState {
	switch d.suspects.Crashes(fingerprint) {
	case 0:
		return entry.Clean
	case 1:
		return entry.Suspect
	default:
		return entry.Refused
	}
}

// others returns the other daemons of the cell.
func (d *daemon) others() []entry.Home {
	var list []entry.Home
	for _, h := range d.view.Load().members {
		if !h.Self() {
			list = append(list, h)
		}
	}
	return list
}

// serveRelay runs the sub-requests that another daemon sends for one query.
func (d *daemon) serveRelay(ctx context.Context, in *peerpb.RelayRequest) (*peerpb.RelayReply, error) {
	requests, err := peer.Requests(in, d.clk.Boot())
	generation := d.view.Load().estate.Generation()
	if err != nil {
		return peer.RelayReply(refuseAll(in, err), generation, 0), nil
	}
	results := make([]shard.Result, len(requests))
	done := make(chan struct{}, len(requests))
	for i, r := range requests {
		go func() {
			results[i] = d.withAvailableSnapshots(d.guard.Do(ctx, r))
			done <- struct{}{}
		}()
	}
	for range requests {
		<-done
	}
	return peer.RelayReply(results, generation, 0), nil
}

// refuseAll returns a refusal for every item of a message that is not valid, up to the
// number that a valid one may have.
func refuseAll(in *peerpb.RelayRequest, err error) []shard.Result {
	e := refusal.FromError(err)
	items := in.Items[:min(len(in.Items), peer.MaxItems)]
	results := make([]shard.Result, 0, len(items))
	for _, item := range items {
		results = append(results, shard.NewResult(shard.ResultSpec{
			Kind: e.Kind(), Ran: refusal.NotRun, Shard: item.GetShard(), Group: item.GetGroup(), Detail: e.Detail(),
		}))
	}
	return results
}

// withAvailableSnapshots adds the list of the group's snapshots to a result that is not
// from the newest one. Without a list, the result is from the newest snapshot, so
// replies stay small in a steady state.
func (d *daemon) withAvailableSnapshots(r shard.Result) shard.Result {
	if r.Kind() != refusal.None {
		return r
	}
	available := d.homes.AvailableSnapshots(r.Group())
	if len(available) == 0 || available[0] == r.Label() {
		return r
	}
	return shard.NewResult(shard.ResultSpec{
		Kind: r.Kind(), Ran: r.Ran(), Shard: r.Shard(), Group: r.Group(), Searcher: r.Searcher(),
		Version: r.Version(), Label: r.Label(), Hits: r.Hits(), Body: r.Body(), Attempts: r.Attempts(),
		Crashed: r.Crashed(), AvailableSnapshots: available, Detail: r.Detail(),
	})
}
