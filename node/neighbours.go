package node

import (
	"context"
	"net/netip"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

// seeds returns the peer addresses of the daemons that the settings name; all
// daemons use the same ports.
func (d *Daemon) seeds() []string {
	own := netip.MustParseAddrPort(d.settings.PeerAddress()) // Checked with the settings.
	var seeds []string
	for _, p := range d.settings.Peers() {
		a := netip.MustParseAddrPort(p)
		seeds = append(seeds, netip.AddrPortFrom(a.Addr(), own.Port()).String())
	}
	return seeds
}

// join registers the daemon, so that the others find it.
func (d *Daemon) join(ctx context.Context) {
	self := d.candidate()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		err := d.store.Register(call, self)
		cancel()
		if err == nil {
			return
		}
		d.log.Warn().Err(err).Msg("registration in the store failed")
		_ = clock.Sleep(ctx, d.clock, registerDelay) // Ends early only with ctx.
	}
}

// candidate is this daemon as it registers.
func (d *Daemon) candidate() fleet.Candidate {
	return fleet.NewCandidate(d.settings.Name(), d.settings.Zone(), d.settings.PeerAddress(), d.settings.Capacity())
}

// describe is the heartbeat of this daemon.
func (d *Daemon) describe() *mirrorpb.Heartbeat {
	return &mirrorpb.Heartbeat{
		Name: d.settings.Name(), Incarnation: d.incarnation, Zone: d.settings.Zone(),
		Front: d.settings.Callers(), Peer: d.settings.PeerAddress(),
		Leaving: d.leaving.Load(), Serving: d.able(),
		StoreAgeMs: uint32(min(d.follower.StoreAge(), time.Hour).Milliseconds()),
		Versions:   d.mirror.Versions(),
		Moves:      d.moveEvidence(),
		Strikes:    d.suspects.CrashReports(maxStrikes),
		Reports:    d.targetReports(),
	}
}

// maxStrikes is how many strikes a heartbeat carries, at 20 bytes each.
const maxStrikes = 32

// heard takes in what another daemon knows of requests that crash targets, and
// fetches changes that it has and this one lacks.
func (d *Daemon) heard(m fleet.Member) {
	d.suspects.Merge(m.Strikes())
	d.hearReports(m)
	own := d.mirror.Versions()
	for kind, v := range m.Versions() {
		if have, ok := own[kind]; !ok || have < v {
			select {
			case d.fetches <- m.Peer():
			default: // A fetch is under way; the next heartbeat tells again.
			}
			return
		}
	}
}

func (d *Daemon) fetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-d.fetches:
			call, cancel := context.WithTimeout(ctx, fetchTimeout)
			if err := mirror.Fetch(call, d.peers, address, d.mirror); err != nil && ctx.Err() == nil {
				meter.Count("node.fetch_failed", 1)
				d.log.Warn().Err(err).Str("peer", address).Msg("fetching changes from another daemon failed")
			}
			cancel()
			if !d.serving.includesSelf() {
				_ = clock.Sleep(ctx, d.clock, standbyFetch) // Ends early only with ctx.
			}
		}
	}
}
