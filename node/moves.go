package node

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/upgrade"
)

// moveCheck is how often moves to another version are judged.
const moveCheck = 250 * time.Millisecond

// moveState is one move as this daemon sees it.
type moveState struct {
	version string
	since   time.Duration // Boot time at which the order became known.
	state   upgrade.State
}

// stepMoves judges all moves on the evidence of all daemons. Each daemon comes to
// its own verdict, so none waits for another to stop a bad version; the daemon
// that watches the store publishes it.
func (d *Daemon) stepMoves(ctx context.Context) {
	orders := platform.DecodeOrders(d.mirror.Objects(platform.KindMoves))
	d.mu.Lock()
	if d.table == nil {
		d.mu.Unlock()
		return
	}
	publish := make(map[platform.Order]upgrade.State)
	seen := make(map[string]bool, len(orders))
	for _, o := range orders {
		seen[o.Service()] = true
		if state := d.stepMove(o); state != o.State() {
			publish[o] = state
		}
	}
	for service := range d.moves {
		if !seen[service] {
			delete(d.moves, service)
			if g := d.groups[service]; g != nil {
				g.Move("", 0)
			}
		}
	}
	d.mu.Unlock()
	if !d.watches() || !d.follower.Connected() {
		return
	}
	for o, state := range publish {
		d.publish(ctx, o, state)
	}
}

// stepMove applies one order and returns the state of its move.
func (d *Daemon) stepMove(o platform.Order) upgrade.State {
	m := d.moves[o.Service()]
	if m == nil || m.version != o.Version() {
		m = &moveState{version: o.Version(), since: d.clock.Boot(), state: upgrade.Running}
		d.moves[o.Service()] = m
		d.log.Info().Str("service", o.Service()).Str("version", o.Version()).Dur("given", o.Given()).Msg("move ordered")
	}
	if o.State() == upgrade.Completed || o.State() == upgrade.RolledBack {
		m.state = o.State()
	}
	g := d.groups[o.Service()]
	if g == nil {
		return m.state
	}
	was, is := g.Evidence()
	elapsed := d.clock.Boot() - m.since
	for _, member := range d.fleet.Alive() {
		for _, e := range member.Moves() {
			if e.GetService() == o.Service() && e.GetVersion() == o.Version() {
				was = was.Add(upgrade.NewTally(int(e.GetOldRequests()), int(e.GetOldBad())))
				is = is.Add(upgrade.NewTally(int(e.GetNewRequests()), int(e.GetNewBad())))
				elapsed = max(elapsed, time.Duration(e.GetElapsedMs())*time.Millisecond)
			}
		}
	}
	next := upgrade.Next(m.state, elapsed, o.Given(), was, is)
	if next == upgrade.Completed && o.State() != upgrade.Completed {
		// The old targets stop once the state is published; until then the new
		// version keeps its share.
		g.Move(o.Version(), upgrade.Share(upgrade.Running, elapsed, o.Given()))
		return next
	}
	if next != m.state {
		d.log.Info().Str("service", o.Service()).Str("version", o.Version()).Str("state", string(next)).
			Int("old_requests", was.Requests()).Int("old_bad", was.Bad()).
			Int("new_requests", is.Requests()).Int("new_bad", is.Bad()).Dur("elapsed", elapsed).Msg("move changes its state")
		m.state = next
	}
	g.Move(o.Version(), upgrade.Share(m.state, elapsed, o.Given()))
	return m.state
}

// publish writes the state of a move. The store refuses it if the order has
// changed meanwhile.
func (d *Daemon) publish(ctx context.Context, o platform.Order, state upgrade.State) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := d.store.Publish(call, o, state); err != nil {
		d.log.Warn().Err(err).Str("service", o.Service()).Str("state", string(state)).Msg("state of a move was not published; it is tried again")
	}
}

// moveEvidence is what this daemon saw of all moves, for the heartbeats.
func (d *Daemon) moveEvidence() []*mirrorpb.MoveEvidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*mirrorpb.MoveEvidence
	for service, m := range d.moves {
		g := d.groups[service]
		if g == nil {
			continue
		}
		was, is := g.Evidence()
		all = append(all, &mirrorpb.MoveEvidence{
			Service: service, Version: m.version,
			OldRequests: uint32(was.Requests()), OldBad: uint32(was.Bad()),
			NewRequests: uint32(is.Requests()), NewBad: uint32(is.Bad()),
			ElapsedMs: uint32((d.clock.Boot() - m.since).Milliseconds()),
		})
	}
	return all
}
