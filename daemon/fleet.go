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

// fleet is the entry's view of this daemon and of the others.
func (d *daemon) fleet() entry.Fleet {
	return entry.Fleet{
		Estate: func() (catalogue.Estate, bool) {
			v := d.view.Load()
			return v.estate, v.known
		},
		PreferenceList:     func(group string) []entry.Home { return d.view.Load().homes[group] },
		Local:              func(ctx context.Context, r shard.Request) shard.Result { return d.withHeld(d.suspectGate.Do(ctx, r)) },
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

// addresses lists the entries in random order, because callers try them in the
// order of the answer. Daemons that do not answer this one and those in a failure
// domain out of service are left out, and a daemon that would list nobody lists
// itself.
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

func (d *daemon) standing(fingerprint uint64) entry.SuspectState {
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

// serveRelay runs the sub-requests of one query of another daemon.
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
			results[i] = d.withHeld(d.guard.Do(ctx, r))
			done <- struct{}{}
		}()
	}
	for range requests {
		<-done
	}
	return peer.RelayReply(results, generation, 0), nil
}

// refuseAll answers every item of a message that cannot be run.
func refuseAll(in *peerpb.RelayRequest, err error) []shard.Result {
	e := refusal.Of(err)
	results := make([]shard.Result, 0, len(in.Items))
	for _, item := range in.Items {
		results = append(results, shard.NewResult(shard.ResultSpec{
			Kind: e.Kind(), Ran: refusal.NotRun, Shard: item.GetShard(), Group: item.GetGroup(), Detail: e.Detail(),
		}))
	}
	return results
}

// withHeld adds what the group holds to an answer from another snapshot than
// the newest. In a steady state replies stay small, and entries know from the
// absence that nothing changed.
func (d *daemon) withHeld(r shard.Result) shard.Result {
	if r.Kind() != refusal.None {
		return r
	}
	held := d.homes.AvailableSnapshots(r.Group())
	if len(held) == 0 || held[0] == r.Label() {
		return r
	}
	return shard.NewResult(shard.ResultSpec{
		Kind: r.Kind(), Ran: r.Ran(), Shard: r.Shard(), Group: r.Group(), Searcher: r.Searcher(),
		Version: r.Version(), Label: r.Label(), Hits: r.Hits(), Body: r.Body(), Attempts: r.Attempts(),
		Crashed: r.Crashed(), AvailableSnapshots: held, Detail: r.Detail(),
	})
}
