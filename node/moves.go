package node

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/upgrade"
)

// moveCheckInterval is the time between evaluations of version moves.
const moveCheckInterval = 250 * time.Millisecond

// stateWrites names the writes of the states of moves.
const stateWrites = "states of moves"

// evaluateMoves evaluates all moves on the evidence of all daemons. Each daemon
// decides for itself, so none waits for another to stop a bad version. The
// daemon that watches the store publishes the result.
func (d *Daemon) evaluateMoves(ctx context.Context) {
	orders := platform.DecodeOrders(d.mirror.Objects(platform.KindMoves))
	era := d.mirror.Eras().Current()
	d.mu.Lock()
	if d.table == nil {
		d.mu.Unlock()
		return
	}
	toPublish := d.moves.evaluate(orders, d.clock.Boot())
	d.mu.Unlock()
	if !d.shouldWatch() || !d.follower.Connected() {
		return
	}
	if len(toPublish) == 0 {
		d.follower.ClearWrite(stateWrites)
	}
	for _, p := range toPublish {
		if p.order.Era() == era {
			d.publish(ctx, p)
		}
	}
}

// moveGroup returns the group of a service. The caller holds d.mu.
func (d *Daemon) moveGroup(service string) (moveGroup, bool) {
	g := d.groups[service]
	if g == nil {
		return moveGroup{}, false
	}
	return moveGroup{evidence: g.Evidence, capacity: g.Capacity, versions: g.Versions, divide: g.Divide}, true
}

// publish writes the state of a move to the store. The store rejects the write
// if the order has changed in the meantime.
func (d *Daemon) publish(ctx context.Context, p publication) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at, err := d.store.PublishState(callCtx, p.order, p.id, p.state, p.withheld, p.inForce)
	if !platform.IsRejected(err) {
		d.follower.RecordWrite(stateWrites, err)
	}
	if err != nil {
		d.log.Warn().Err(err).Str("service", p.order.Service()).Str("state", string(p.state)).Msg("publishing the state of a move failed; retrying at the next evaluation")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.moves.published(p, at)
	if p.state == upgrade.Completed {
		d.moves.confirm(p.order.Service(), p.order.Version(), p.id, d.clock.Boot())
	}
}

// moveEvidence returns this daemon's evidence on all moves, for the other daemons.
func (d *Daemon) moveEvidence() []*mirrorpb.MoveEvidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.moves.messages(d.clock.Boot())
}

// mergeMoves stores the evidence of another daemon.
func (d *Daemon) mergeMoves(m fleet.Member) {
	if len(m.Moves()) == 0 || m.Name() == d.settings.Name() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.moves.merge(m.PeerAddress(), m.Incarnation(), m.Moves(), d.clock.Boot())
}
