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

// watchers is how many daemons watch the store at a time. Another takes over
// within about two seconds, before a change must be in force.
const watchers = 1

// watches reports whether this daemon is to watch the store. A daemon that
// serves does so if fewer than the wanted number before it in the order of names
// do, one that stands by only if no other does.
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
	return before < watchers
}

// precedes reports whether this daemon is the first by name of those that reach
// the store.
func (d *Daemon) precedes() bool {
	for _, m := range d.fleet.Alive() {
		if m.Name() < d.settings.Name() && !m.Leaving() && m.StoreAge() < mirror.FreshContact {
			return false
		}
	}
	return true
}
