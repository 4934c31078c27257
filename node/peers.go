package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
)

// seedAddresses returns the peer addresses of the daemons listed in the
// settings. All daemons use the same ports.
func (d *Daemon) seedAddresses() []string {
	own := netip.MustParseAddrPort(d.settings.PeerAddress()) // Validated when the settings were loaded.
	var seeds []string
	for _, p := range d.settings.Peers() {
		a := netip.MustParseAddrPort(p)
		seeds = append(seeds, netip.AddrPortFrom(a.Addr(), own.Port()).String())
	}
	return seeds
}

// register publishes this daemon's entry in the store, so that other daemons
// discover it, and again in each new era, whose copy may lack it. It retries
// failed calls until ctx ends.
func (d *Daemon) register(ctx context.Context) {
	self := d.candidate()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		era, err := d.store.Register(callCtx, self)
		cancel()
		if err != nil {
			d.log.Warn().Err(err).Msg("registering this daemon in the store failed; retrying")
			_ = clock.Sleep(ctx, d.clock, registerRetryDelay) // Ends early only with ctx.
			continue
		}
		if d.mirror.Eras().WaitAfter(ctx, era) != nil {
			return
		}
		_ = clock.Sleep(ctx, d.clock, rand.N(maxRegisterDelay)) // Ends early only with ctx.
		meter.Count("node.registered_again", 1)
		d.log.Info().Uint64("era", d.mirror.Eras().Current()).Msg("registering this daemon in the new era of the store")
	}
}

// candidate returns this daemon's registry entry.
func (d *Daemon) candidate() fleet.Candidate {
	return fleet.NewCandidate(d.settings.Name(), d.settings.Domain(), d.settings.PeerAddress(), d.settings.Capacity())
}

// heartbeat returns the heartbeat that describes this daemon's current state. Its
// size does not depend on the number of objects and daemons.
func (d *Daemon) heartbeat() *mirrorpb.Heartbeat {
	era := d.mirror.Eras().Current()
	versions, olderEras := d.mirror.Versions().Encode(era)
	return &mirrorpb.Heartbeat{
		Name: d.settings.Name(), Incarnation: d.incarnation, Zone: d.settings.Domain(),
		Front: d.settings.CallersAddress(), Peer: d.settings.PeerAddress(),
		Leaving: d.shutdown.announced(), Serving: d.canServe() && !d.shutdown.closed.Load(),
		StoreAgeMs: uint32(min(d.follower.StoreAge(), mirror.NoContact).Milliseconds()),
		FailingMs:  uint32(min(d.follower.FailingFor(), mirror.NoContact).Milliseconds()),
		Era:        era,
		Versions:   versions,
		OlderEras:  olderEras,
		Duty:       d.usage.state(),
	}
}

// details returns what this daemon tells the daemons that serve and those on
// standby beyond its state. Standby daemons use no reports, and they learn of the
// end of a move from the store.
func (d *Daemon) details() (serving, standby fleet.Details) {
	blocks := d.strikeBlocks(maxHeartbeatStrikes)
	notices := &mirrorpb.Heartbeat{Notices: d.targetNotices()}
	reports := &mirrorpb.Heartbeat{Reports: d.targetReports()}
	blocks = append(blocks, notices)
	return fleet.NewDetails(append(blocks, reports), d.moveEvidence()),
		fleet.NewDetails(blocks, nil)
}

// strikeBlocks returns the crash strikes of a round of heartbeats in blocks of details.
func (d *Daemon) strikeBlocks(limit int) []*mirrorpb.Heartbeat {
	var blocks []*mirrorpb.Heartbeat
	for strikes := range slices.Chunk(d.suspects.CrashReports(limit), strikesInBlock) {
		blocks = append(blocks, &mirrorpb.Heartbeat{Strikes: strikes})
	}
	return blocks
}

// announceStrikes lets sendStrikes send the latest strikes. It does not block.
func (d *Daemon) announceStrikes() {
	select {
	case d.strikes <- struct{}{}:
	default: // They are sent with the ones announced before.
	}
}

// sendStrikes sends the latest strikes without waiting for the next round of heartbeats, so
// that no other daemon runs a request that has just crashed a target.
func (d *Daemon) sendStrikes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.strikes:
			d.fleet.SendBlocks(d.strikeBlocks(strikesInBlock))
			_ = clock.Sleep(ctx, d.clock, minStrikesInterval) // Ends early only with ctx.
		}
	}
}

// minStrikesInterval is the minimum time between strikes that are sent apart from the rounds
// of heartbeats.
const minStrikesInterval = 20 * time.Millisecond

const (
	// maxHeartbeatStrikes is the maximum number of crash strikes in a round of
	// heartbeats.
	maxHeartbeatStrikes = 32
	// strikesInBlock is the number of strikes that certainly fit into a block of details;
	// each takes 100 bytes at most.
	strikesInBlock = 8
)

// trialRank returns the place of this daemon among those that may run a request on trial,
// by a hash of their addresses. It stops counting at maxTrialRank.
func (d *Daemon) trialRank(fingerprint uint64) int {
	score := func(peer string) uint64 { return xxhash.Sum64String(fmt.Sprintf("%x/%s", fingerprint, peer)) }
	own, rank := score(d.settings.PeerAddress()), 0
	d.fleet.AnyAlive(func(m fleet.Member) bool {
		if m.Serving() && !m.Leaving() && d.serving.isRegistered(m.PeerAddress()) && score(m.PeerAddress()) > own {
			rank++
		}
		return rank >= maxTrialRank
	})
	return rank
}

// maxTrialRank is the rank from which on trials begin when the suspicion ends.
const maxTrialRank = 32

// handleHeartbeat merges another daemon's crash strikes, target reports, target
// notices, contact with the store and the store's era. It queues a fetch if that
// daemon has newer objects.
func (d *Daemon) handleHeartbeat(m fleet.Member) {
	if m.StoreAge() < mirror.NoContact {
		d.follower.Contact().Record(d.clock.Boot() - m.StoreAge())
	}
	d.usage.handleHeartbeat(m)
	if d.serving.isRegistered(m.PeerAddress()) {
		d.suspects.Merge(m.Strikes())
	} else if len(m.Strikes()) > 0 {
		meter.Count("node.unregistered_strikes", 1)
	}
	d.mergeMoves(m)
	d.mergeReports(m)
	d.mergeNotices(m)
	if !d.mirror.Eras().Learn(m.Era()) {
		meter.Count("node.unconfirmed_era", 1)
		return // Fetching would change nothing, and would be repeated for each heartbeat.
	}
	if d.mirror.Behind(mirror.NewVersions(m.Era(), m.Versions(), m.OlderEras())) {
		select {
		case d.fetches <- m.PeerAddress():
		default: // A fetch is queued already; the next heartbeat triggers another.
		}
	}
}

// knows reports whether the daemon at a peer address has been heard lately.
func (d *Daemon) knows(peer string) bool { return !d.fleet.LastHeartbeat(peer).IsZero() }

func (d *Daemon) fetchChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-d.fetches:
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			if err := mirror.Fetch(callCtx, d.peers, address, d.mirror); err != nil && ctx.Err() == nil {
				meter.Count("node.fetch_failed", 1)
				d.log.Warn().Err(err).Str("peer", address).Msg("fetching changes from a peer failed; waiting for its next heartbeat")
			}
			cancel()
			if !d.serving.includesSelf() {
				_ = clock.Sleep(ctx, d.clock, minStandbyFetchInterval) // Ends early only with ctx.
			}
		}
	}
}
