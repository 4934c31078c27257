package node

import (
	"context"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/platform"
)

// follow follows the store. A daemon that others start from reads it at once;
// the others first wait for what these tell them, which spares the store.
func (d *Daemon) follow(ctx context.Context, seed bool) {
	for waited := time.Duration(0); !seed && waited < seedWait && !d.mirror.Known(platform.KindTargets); waited += seedCheck {
		if clock.Sleep(ctx, d.clock, seedCheck) != nil {
			return
		}
	}
	d.follower.Run(ctx,
		mirror.Leading(mirror.NewKind(platform.KindConfig, configReread, 0)),
		mirror.NewKind(platform.KindTargets, targetsReread, gatherChanges),
		mirror.NewKind(platform.KindMoves, ordersReread, 0),
		mirror.NewKind(platform.KindEvacuations, ordersReread, 0),
		mirror.NewKind(platform.KindDaemons, ordersReread, gatherChanges))
}

// watches reports whether this daemon is to watch the store. The first by name
// of the serving daemons that reach the store does; another takes over within
// about two seconds, before a change must be in force. One that stands by watches
// only if no other does.
func (d *Daemon) watches() bool {
	others, before := 0, 0
	for _, m := range d.fleet.Alive() {
		if m.Leaving() || m.StoreAge() >= mirror.FreshContact {
			continue
		}
		others++
		if m.Name() < d.settings.Name() {
			before++
		}
	}
	if !d.serving.includesSelf() {
		return others == 0
	}
	return before == 0
}
